// Wires the platform's edge to the gateway.
#include "platform_serve.h"

#include <fmt/format.h>
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

constexpr int kDone = 0;
constexpr int kFailed = 1;
constexpr int kWrongUse = 2;

bool ReadBootSettings(const std::string& path, InstanceSettings* settings) {
  std::ifstream in(path);
  if (!in) {
    fmt::print(stderr, "bilberrypitch: {} can't be read.\n", path);
    return false;
  }
  std::string text(std::istreambuf_iterator<char>(in), {});
  auto errors = platform::ReadBootFile(text, settings);
  for (const platform::BootFileError& it : errors) {
    fmt::print(stderr, "{}: {} {}\n", path, it.field, it.message);
  }
  return errors.empty();
}

std::string BootFilePath(const std::string& path) {
  if (!path.empty()) {
    return path;
  }
  const char* named = std::getenv(platform::kBootFileVariable);
  return named != nullptr ? named : platform::kDefaultBootFilePath;
}

}  // namespace

bool CheckBootFile(const std::string& path) {
  InstanceSettings settings;
  return ReadBootSettings(path, &settings);
}

int ServeOnPlatform(const SettingsPaths& files) {
  InstanceSettings settings;
  schema::Settings own;
  std::string boot = BootFilePath(files.boot_file);
  bool good = ReadSettingsFile(files.settings_file, &own);
  if (!ReadBootSettings(boot, &settings) || !good) {
    return kWrongUse;
  }
  LogLevel level = LogLevel::kInfo;
  ParseLogLevel(own.log_level(), &level);
  SetLogLevel(level);
  signal(SIGPIPE, SIG_IGN);
  try {
    EventLoop loop;
    EventLoopHttpClient requests(&loop);
    EventLoopHttpClient control(&loop);
    platform::StoreClient store(&control, settings.store_address);
    platform::EngineClient engines(&control);
    platform::RequestCodec codec;
    GatewayDeps ports;
    ports.loop = &loop;
    ports.client = &requests;
    ports.store = &store;
    ports.engines = &engines;
    ports.codec = &codec;
    ports.decode_record = platform::DecodeStoreRecord;
    CompletionsCodec completions(&codec);
    if (own.has_completions_address()) {
      ports.completions_codec = &completions;
      ports.completions_address = own.completions_address();
    }
    Gateway gateway(settings, ports);
    loop.HandleSignals({SIGTERM, SIGINT, SIGHUP}, [&](int signal) {
      if (signal == SIGHUP) {
        // Addresses and bounds hold for the life of a process.
        InstanceSettings changed;
        bool valid = ReadBootSettings(boot, &changed);
        LogInfo("gateway", "Settings were read again, valid={}.", valid);
        return;
      }
      gateway.Stop([&loop] { loop.Stop(); });
    });
    loop.Run();
    return kDone;
  } catch (const std::exception& e) {
    LogLine(LogLevel::kError, "gateway", e.what());
    return kFailed;
  }
}

}  // namespace bilberrypitch
