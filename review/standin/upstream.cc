// Implements the stand-in of a server.
#include "upstream.h"

#include <sys/socket.h>

#include <chrono>

namespace review {
namespace {

constexpr int64_t kForeverMs = 3600 * 1000;
constexpr int kBeatsUntilExpiry = 3;

int64_t UnixTimeMs() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace

void RunLog::Add(const std::string& request_id, const std::string& server) {
  std::lock_guard lock(mutex_);
  runs_[request_id].push_back(server);
}

std::vector<std::string> RunLog::RunsOf(const std::string& request_id) {
  std::lock_guard lock(mutex_);
  auto it = runs_.find(request_id);
  return it == runs_.end() ? std::vector<std::string>() : it->second;
}

std::map<std::string, std::vector<std::string>> RunLog::All() {
  std::lock_guard lock(mutex_);
  return runs_;
}

Upstream::Upstream(Fleet* fleet, UpstreamOptions options, Handler handler)
    : fleet_(fleet),
      options_(std::move(options)),
      handler_(std::move(handler)),
      born_ms_(UnixTimeMs()),
      listener_(Listen(&port_)) {
  accept_thread_ = std::thread([this] { Accept(); });
  beat_thread_ = std::thread([this] { Beat(); });
}

Upstream::~Upstream() {
  stopping_ = true;
  shutdown(listener_.fd(), SHUT_RDWR);
  accept_thread_.join();
  {
    std::lock_guard lock(mutex_);
    for (int fd : open_fds_) {
      shutdown(fd, SHUT_RDWR);
    }
  }
  beat_thread_.join();
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

bool Upstream::TakeSlot() {
  if (running_.fetch_add(1) < options_.slots) {
    return true;
  }
  --running_;
  return false;
}

void Upstream::FreeSlot() { --running_; }

std::string Upstream::Answer(int status, const std::string& request_id,
                             const std::string& extra,
                             const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         (status < 300 ? " OK" : " Error") + "\r\nRequest-Id: " + request_id +
         "\r\n" + extra + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string Upstream::Rejection(const std::string& request_id) {
  std::string slots = std::to_string(options_.slots);
  return Answer(503, request_id,
                "Not-Run: full\r\nLoad: " + slots + ",0," + slots + "\r\n",
                "full");
}

std::string Upstream::Success(const std::string& request_id) {
  return Answer(200, request_id,
                "Answer-Stamp: " + options_.id + "." + request_id +
                    "\r\nLoad: " + std::to_string(running_) + ",0," +
                    std::to_string(options_.slots) + "\r\n",
                "done " + request_id);
}

void Upstream::Accept() {
  while (!stopping_) {
    int fd = accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    std::lock_guard lock(mutex_);
    open_fds_.insert(fd);
    threads_.emplace_back([this, fd] { Serve(fd); });
  }
}

void Upstream::Serve(int fd) {
  UpstreamConnection connection;
  connection.socket = Socket(fd);
  Reader reader(fd);
  while (!stopping_) {
    std::optional<Message> request = reader.Read(NowMs() + kForeverMs);
    if (!request || !request->complete) {
      break;
    }
    std::string id = request->Header("request-id");
    std::string expected = request->Header("expect-instance");
    if (!expected.empty() && expected != options_.id) {
      connection.socket.Send(Answer(421, id, "Not-Run: other\r\n", ""));
      continue;
    }
    if (!handler_(this, &connection, *request)) {
      break;
    }
  }
  std::lock_guard lock(mutex_);
  open_fds_.erase(fd);
  connection.socket.Close();
}

void Upstream::Beat() {
  while (!stopping_) {
    std::string entry =
        R"({"service":")" + options_.service + R"(","addr":"127.0.0.1:)" +
        std::to_string(port_) + R"(","zone":")" + options_.zone +
        R"(","version":"1","capacity":)" + std::to_string(options_.slots) +
        R"(,"state":"ready","coldLeftMs":0,"seq":0,"born":)" +
        std::to_string(born_ms_) +
        (options_.entry_fields ? options_.entry_fields() : "") + "}";
    if (NowMs() >= cut_until_ms_) {
      fleet_->WriteItem("servers/" + options_.id, entry,
                        int64_t{kBeatsUntilExpiry} * options_.beat_ms);
    }
    for (int64_t end = NowMs() + options_.beat_ms;
         NowMs() < end && !stopping_;) {
      SleepMs(20);
    }
  }
}

}  // namespace review
