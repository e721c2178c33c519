// Connects the gateway to the platform and runs it.
#include "platform_serve.h"

#include <fmt/format.h>
#include <malloc.h>
#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>

#include "base/log.h"
#include "completions/completions_codec.h"
#include "gateway/gateway.h"
#include "platform/boot_file.h"
#include "platform/engine_client.h"
#include "platform/request_codec.h"
#include "platform/store_client.h"
#include "platform/store_records.h"
#include "schema/settings.pb.h"
#include "settings_file.h"
#include "transport/event_loop.h"
#include "transport/event_loop_http_client.h"

namespace bilberrypitch {
namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitInvalidInput = 2;

// Prints all errors. Returns true if there are none.
bool ReadBootSettings(const std::string& path, InstanceSettings* settings) {
  std::ifstream stream(path);
  if (!stream) {
    fmt::print(stderr, "bilberrypitch: cannot read {}\n", path);
    return false;
  }
  std::string text(std::istreambuf_iterator<char>(stream), {});
  auto errors = platform::ReadBootFile(text, settings);
  for (const platform::BootFileError& error : errors) {
    fmt::print(stderr, "{}: {} {}\n", path, error.field, error.message);
  }
  return errors.empty();
}

// Returns `path` unless it is empty, else the path from the environment or the
// default path.
std::string BootFilePath(const std::string& path) {
  if (!path.empty()) {
    return path;
  }
  const char* from_environment = std::getenv(platform::kBootFileVariable);
  return from_environment != nullptr ? from_environment
                                     : platform::kDefaultBootFilePath;
}

// Has freed bodies returned to the machine at once. The C library otherwise
// raises this threshold to the size of freed blocks, up to 32 MB, and keeps
// them in its heap, where what is freed stays resident.
void ReturnFreedBodies() {
  constexpr int kMappedBytes = 128 << 10;
  mallopt(M_MMAP_THRESHOLD, kMappedBytes);
}

}  // namespace

bool CheckBootFile(const std::string& path) {
  InstanceSettings settings;
  return ReadBootSettings(path, &settings);
}

int ServeOnPlatform(const SettingsPaths& paths) {
  InstanceSettings instance_settings;
  schema::Settings file_settings;
  std::string boot_path = BootFilePath(paths.boot_file);
  bool settings_valid = ReadSettingsFile(paths.settings_file, &file_settings);
  if (!ReadBootSettings(boot_path, &instance_settings) || !settings_valid) {
    return kExitInvalidInput;
  }
  LogLevel level = LogLevel::kInfo;
  ParseLogLevel(file_settings.log_level(), &level);
  SetLogLevel(level);
  signal(SIGPIPE, SIG_IGN);
  ReturnFreedBodies();
  try {
    EventLoop loop;
    EventLoopHttpClient request_client(&loop);
    EventLoopHttpClient control_client(&loop);
    platform::StoreClient store(&control_client,
                                instance_settings.store_address);
    platform::EngineClient engines(&control_client);
    control_client.SetOnUnsolicitedBytes(
        [&engines](const std::string& address) {
          engines.OnUnsolicitedBytes(address);
        });
    platform::RequestCodec codec;
    GatewayDeps deps;
    deps.loop = &loop;
    deps.client = &request_client;
    deps.store = &store;
    deps.engines = &engines;
    deps.codec = &codec;
    deps.decode_record = platform::DecodeStoreRecord;
    CompletionsCodec completions(&codec);
    if (file_settings.has_completions_address()) {
      deps.completions_codec = &completions;
      deps.completions_address = file_settings.completions_address();
    }
    Gateway gateway(instance_settings, deps);
    loop.HandleSignals({SIGTERM, SIGINT, SIGHUP}, [&](int signal) {
      if (signal == SIGHUP) {
        // Addresses and bounds are fixed for the lifetime of a process, so the
        // file is only validated.
        InstanceSettings reread_settings;
        bool valid = ReadBootSettings(boot_path, &reread_settings);
        LogInfo("gateway", "Checked the boot file again, valid={}.", valid);
        return;
      }
      gateway.Stop([&loop] { loop.Stop(); });
    });
    loop.Run();
    return kExitSuccess;
  } catch (const std::exception& e) {
    LogLine(LogLevel::kError, "gateway", e.what());
    return kExitFailure;
  }
}

}  // namespace bilberrypitch
