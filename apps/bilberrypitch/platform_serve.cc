// Wires the platform's edge to the gateway.
#include "platform_serve.h"

#include <fmt/format.h>
#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>

#include "base/log.h"
#include "gateway/gateway.h"
#include "platform/boot_file.h"
#include "platform/engine_client.h"
#include "platform/request_codec.h"
#include "platform/store_client.h"
#include "platform/store_records.h"
#include "transport/event_loop.h"
#include "transport/loop_client.h"

namespace bilberrypitch {
namespace {

constexpr int kDone = 0;
constexpr int kFailed = 1;
constexpr int kWrongUse = 2;

bool ReadSettings(const std::string& path, InstanceSettings* settings) {
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

}  // namespace

std::string BootFilePath(const std::string& path) {
  if (!path.empty()) {
    return path;
  }
  const char* named = std::getenv(platform::kBootFileVariable);
  return named != nullptr ? named : platform::kBootFilePath;
}

int CheckBootFile(const std::string& path) {
  InstanceSettings settings;
  return ReadSettings(path, &settings) ? kDone : kWrongUse;
}

int ServeOnPlatform(const std::string& path) {
  InstanceSettings settings;
  if (!ReadSettings(path, &settings)) {
    return kWrongUse;
  }
  signal(SIGPIPE, SIG_IGN);
  try {
    EventLoop loop;
    LoopClient requests(&loop);
    LoopClient control(&loop);
    platform::StoreClient store(&control, settings.store_address);
    platform::EngineClient engines(&control);
    platform::RequestCodec codec;
    GatewayPorts ports;
    ports.loop = &loop;
    ports.client = &requests;
    ports.store = &store;
    ports.engines = &engines;
    ports.codec = &codec;
    ports.decode_record = platform::DecodeRecord;
    Gateway gateway(settings, ports);
    loop.HandleSignals({SIGTERM, SIGINT, SIGHUP}, [&](int signal) {
      if (signal == SIGHUP) {
        // Addresses and bounds hold for the life of a process.
        InstanceSettings changed;
        bool valid = ReadSettings(path, &changed);
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
