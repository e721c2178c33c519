// Implements what the cases share.
#include "support.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr char kProduct[] = "target/apps/bilberrypitch/bilberrypitch";
constexpr char kLab[] = "target/tools/bilberrypitch_lab/bilberrypitch_lab";
constexpr int64_t kStartTimeoutMs = 15000;
constexpr int64_t kCallTimeoutMs = 3000;
// Of the machine's 4,100 descriptors, 200 are reserved for files.
constexpr rlim_t kSocketsAndPipes = 3900;
constexpr int kBeatMs = 1200;
constexpr int kMissedBeats = 3;

sockaddr_in LoopbackAddress(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string ToBase64(const std::string& text) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8U;
      group |= i + j < text.size() ? static_cast<uint8_t>(text[i + j]) : 0U;
    }
    for (size_t j = 0; j < 4; ++j) {
      bool is_padding = i + j > text.size();
      encoded += is_padding ? '=' : kDigits[(group >> (18U - 6U * j)) & 63U];
    }
  }
  return encoded;
}

// Writes to the platform's store as the operator or a server.
void WriteItem(uint16_t store_port, const std::string& key,
               const std::string& value, int ttl_ms) {
  Call(store_port, "POST", "/lab/write",
       R"({"key":")" + key + R"(","value":")" + ToBase64(value) +
           R"(","ttl_ms":)" + std::to_string(ttl_ms) + "}");
}

// Reads until `text` ends with the bytes that `is_whole` asks for.
bool ReadUntil(Connection* connection, std::string* text, int64_t timeout_ms,
               const std::function<bool(const std::string&)>& is_whole) {
  const int64_t end = NowMs() + timeout_ms;
  while (!is_whole(*text)) {
    const int64_t left = end - NowMs();
    std::string bytes = left > 0 ? connection->Read(left) : "";
    if (bytes.empty()) {
      return false;
    }
    *text += bytes;
  }
  return true;
}

}  // namespace

int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool WithTrouble() {
  const char* value = getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

Record::Record(const std::string& path)
    : file_(std::fopen(path.c_str(), "w")) {}

Record::~Record() {
  if (file_ != nullptr) {
    std::fclose(file_);
  }
}

void Record::Add(const std::string& line) {
  std::lock_guard lock(mutex_);
  const auto now = static_cast<long long>(NowMs());
  std::printf("%6lld ms  %s\n", now, line.c_str());
  if (file_ != nullptr) {
    std::fprintf(file_, "%6lld ms  %s\n", now, line.c_str());
    std::fflush(file_);
  }
}

Connection Connection::To(uint16_t port) {
  Connection connection(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address = LoopbackAddress(port);
  if (connect(connection.fd_, reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) != 0) {
    connection.Close();
  }
  return connection;
}

Connection::Connection(Connection&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)) {}

Connection& Connection::operator=(Connection&& other) noexcept {
  Close();
  fd_ = std::exchange(other.fd_, -1);
  return *this;
}

Connection::~Connection() { Close(); }

void Connection::Close() {
  if (fd_ >= 0) {
    close(std::exchange(fd_, -1));
  }
}

bool Connection::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t n = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<size_t>(n));
  }
  return true;
}

std::string Connection::Read(int64_t timeout_ms) {
  pollfd waiting{fd_, POLLIN, 0};
  if (poll(&waiting, 1, static_cast<int>(std::max<int64_t>(0, timeout_ms))) <=
      0) {
    return "";
  }
  std::string buf(64 << 10, '\0');
  ssize_t n = recv(fd_, buf.data(), buf.size(), 0);
  buf.resize(static_cast<size_t>(std::max<ssize_t>(0, n)));
  return buf;
}

int Message::status() const {
  constexpr size_t kStatusAt = 9;  // "HTTP/1.1 200".
  return start.size() > kStatusAt ? std::atoi(start.c_str() + kStatusAt) : 0;
}

std::string Message::Field(const std::string& name) const {
  auto it = fields.find(name);
  return it == fields.end() ? "" : it->second;
}

Message ReadMessage(Connection* connection, std::string* rest,
                    int64_t timeout_ms, bool is_request) {
  Message message;
  auto has_head = [](const std::string& text) {
    return text.find("\r\n\r\n") != std::string::npos;
  };
  if (!ReadUntil(connection, rest, timeout_ms, has_head)) {
    return message;
  }
  const size_t head_end = rest->find("\r\n\r\n");
  std::istringstream head(rest->substr(0, head_end));
  std::getline(head, message.start);
  std::string line;
  while (std::getline(head, line)) {
    line.erase(line.find_last_not_of('\r') + 1);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const size_t value = line.find_first_not_of(' ', colon + 1);
      message.fields[ToLower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
  }
  rest->erase(0, head_end + 4);
  if (ToLower(message.Field("transfer-encoding")) == "chunked") {
    constexpr std::string_view kLastChunk = "0\r\n\r\n";
    message.complete =
        ReadUntil(connection, rest, timeout_ms, [&](const std::string& text) {
          return text.ends_with(kLastChunk) &&
                 (text.size() == kLastChunk.size() ||
                  text[text.size() - kLastChunk.size() - 1] == '\n');
        });
    message.body = std::exchange(*rest, "");
    return message;
  }
  const std::string length = message.Field("content-length");
  if (length.empty() && !is_request) {
    return message;  // Ends with its connection: no case expects it.
  }
  const size_t size = std::strtoul(length.c_str(), nullptr, 10);
  message.complete = ReadUntil(
      connection, rest, timeout_ms,
      [size](const std::string& text) { return text.size() >= size; });
  message.body = rest->substr(0, size);
  rest->erase(0, size);
  return message;
}

std::optional<Message> Call(uint16_t port, const std::string& method,
                            const std::string& target,
                            const std::string& body) {
  Connection connection = Connection::To(port);
  const std::string text = method + " " + target +
                           " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body;
  if (!connection.is_open() || !connection.Send(text)) {
    return std::nullopt;
  }
  std::string rest;
  Message message = ReadMessage(&connection, &rest, kCallTimeoutMs, false);
  return message.complete ? std::optional(message) : std::nullopt;
}

uint16_t Serve(std::function<void(Connection)> handle) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = LoopbackAddress(0);
  socklen_t size = sizeof(address);
  constexpr int kBacklog = 256;
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(listener, kBacklog) != 0 ||
      getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) !=
          0) {
    return 0;
  }
  std::thread([listener, handle = std::move(handle)] {
    while (true) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        std::thread([fd, handle] { handle(Connection(fd)); }).detach();
      }
    }
  }).detach();
  return ntohs(address.sin_port);
}

uint16_t FreePort() {
  // Below the range of ephemeral ports, which outgoing connections use. Cases
  // that run at the same time begin at different ports.
  constexpr int kFirstPort = 20000;
  constexpr int kPorts = 10000;
  constexpr int kStep = 97;
  static int next = getpid() * kStep % kPorts;
  for (int i = 0; i < kPorts; ++i) {
    next = (next + 1) % kPorts;
    const auto port = static_cast<uint16_t>(kFirstPort + next);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = LoopbackAddress(port);
    const bool is_free =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    if (is_free) {
      return port;
    }
  }
  return 0;
}

Process::Process(const std::string& name, const std::vector<std::string>& args,
                 const std::vector<std::string>& environment,
                 const std::string& directory, rlim_t most_descriptors) {
  const std::string log = directory + "/" + name + ".log";
  std::vector<char*> arguments;
  arguments.reserve(args.size() + 1);
  for (const std::string& arg : args) {
    arguments.push_back(const_cast<char*>(arg.c_str()));
  }
  arguments.push_back(nullptr);
  std::vector<char*> variables;
  variables.reserve(environment.size() + 1);
  for (const std::string& variable : environment) {
    variables.push_back(const_cast<char*>(variable.c_str()));
  }
  variables.push_back(nullptr);
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // Ends with the case, however it ends.
    if (most_descriptors > 0) {
      const rlimit limit{most_descriptors, most_descriptors};
      setrlimit(RLIMIT_NOFILE, &limit);
    }
    const int fd = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    execve(arguments[0], arguments.data(), variables.data());
    _exit(kCannotRun);
  }
}

Process::~Process() {
  if (!ExitStatus()) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

std::optional<int> Process::ExitStatus() {
  int status = 0;
  if (!status_ && waitpid(pid_, &status, WNOHANG) == pid_) {
    status_ = status;
  }
  return status_;
}

void Process::Signal(int signal) {
  if (!ExitStatus()) {
    kill(pid_, signal);
  }
}

int64_t Process::ResidentMb() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
  int64_t total = 0;
  int64_t resident = 0;
  file >> total >> resident;
  return resident * sysconf(_SC_PAGESIZE) >> 20;
}

std::string DescribeExit(int status) {
  return WIFSIGNALED(status)
             ? "ended by signal " + std::to_string(WTERMSIG(status))
             : "ended with exit code " + std::to_string(WEXITSTATUS(status));
}

Deployment::Deployment() {
  std::string path =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(path.data()) != nullptr) {
    directory_ = path;
  }
}

Deployment::~Deployment() {
  store_.reset();
  std::error_code ignored;
  if (!directory_.empty() && getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(directory_, ignored);
  }
}

bool Deployment::StartStore() {
  store_port_ = FreePort();
  store_ = std::make_unique<Process>(
      "store",
      std::vector<std::string>{kLab, "store", "--port",
                               std::to_string(store_port_)},
      std::vector<std::string>{}, directory_);
  const int64_t end = NowMs() + kStartTimeoutMs;
  while (NowMs() < end) {
    if (Call(store_port_, "GET", "/lab/facts", "")) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

bool Deployment::StartMachine(const std::string& name, const std::string& zone,
                              Machine* machine) {
  machine->name = name;
  machine->front = FreePort();
  machine->ready = FreePort();
  const std::string peer = std::to_string(FreePort());
  const std::string path = directory_ + "/" + name + ".conf";
  std::ofstream(path)
      << "node=" << name << "\nrole=entry\nclass=front\n"
      << "serves=front\nip=127.0.0.1\nzone=" << zone
      << "\nregion=r\nzones.a=r\nzones.b=r\n"
      << "listen.front=127.0.0.1:" << machine->front
      << "\nlisten.ready=127.0.0.1:" << machine->ready << "\nportRange=" << peer
      << "," << peer
      << "\nbootstrap=true\nlimits.cpuShare=0.25\nlimits.cpus=1\n"
         "limits.memoryMb=260\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\n"
         "beatMs=1200\ntolerate.machines=1\ntolerate.zones=1\n"
         "bounds.contactMs=3000\nbounds.drainMs=2000\nbounds.graceS=8\n"
         "bounds.lostSlackMs=200\nbounds.applyMs=2000\n"
         "bounds.strictRevoke=true\nbounds.revokeMs=5000\n"
         "bounds.retryRatio=0.2\nbounds.retryWindowS=10\n"
         "bounds.retrySlack=56\nbounds.quotaWindowS=8\nbounds.quotaOver=0.1\n"
         "bounds.quotaSlack=17000\nbounds.fencing=true\nbounds.leaseMs=3000\n"
         "bounds.version_ms=5000\nplatform.addr=127.0.0.1:"
      << store_port_
      << "\nplatform.form=kv\nplatform.writesPerS=400\n"
         "platform.readsPerS=2000\nplatform.ttlMinMs=1000\n";
  machine->process = std::make_unique<Process>(
      name, std::vector<std::string>{kProduct, "serve"},
      std::vector<std::string>{"BILBERRYPITCH_BOOT=" + path}, directory_,
      kSocketsAndPipes);
  const int64_t end = NowMs() + kStartTimeoutMs;
  while (NowMs() < end) {
    auto answer = Call(machine->ready, "GET", "/readyz", "");
    if (answer && answer->status() == 200) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

void Deployment::Write(const std::string& key, const std::string& value) {
  WriteItem(store_port_, key, value, 0);
}

void Deployment::Register(const std::string& id, const std::string& service,
                          uint16_t port, const std::string& models) {
  const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  const std::string entry =
      R"({"service":")" + service + R"(","addr":"127.0.0.1:)" +
      std::to_string(port) +
      R"(","zone":"a","version":"1","capacity":64,"state":"ready",)" +
      R"("coldLeftMs":0,"seq":0,"models":[)" + models + R"(],"born":)" +
      std::to_string(born) + "}";
  std::thread([store_port = store_port_, id, entry] {
    while (true) {
      WriteItem(store_port, "servers/" + id, entry, kBeatMs * kMissedBeats);
      SleepMs(kBeatMs);
    }
  }).detach();
}

std::string ConfigJson(int version, const std::vector<RouteSpec>& routes) {
  std::string list;
  for (const RouteSpec& route : routes) {
    list += list.empty() ? "" : ",";
    list += R"({"name":")" + route.prefix + R"(","host":")" + kHost +
            R"(","prefix":")" + route.prefix + R"(","kind":")" + route.kind +
            R"(","service":")" + route.service +
            R"(","attempts":1,"goalMs":1000,"timeoutMs":)" +
            std::to_string(route.timeout_ms) +
            (route.gap_aim_ms > 0
                 ? R"(,"gapAimMs":)" + std::to_string(route.gap_aim_ms)
                 : "") +
            "}";
  }
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + list +
         R"(],"services":[{"name":")" + kPlainService + R"("},{"name":")" +
         kModelService +
         R"(","engine":{"capacity":64,"kvTokens":126653,"weightsMb":44000,)" +
         R"("adapterSlots":6,"loadsPerS":2.1,"models":[{"name":")" + kModel +
         R"(","weightsMb":42700,"loadS":3.3,"adapters":3000,"adapterMb":66}]}})" +
         R"(],"limits":{"bodyBytes":1048576,"headerBytes":16384},)" +
         R"("tenants":[{"name":"hule930","apiKeys":[")" + kKey + R"("]}]})";
}

std::string RequestText(const std::string& target, const std::string& id,
                        int deadline_ms, const std::string& fields,
                        const std::string& body) {
  return "POST " + target + " HTTP/1.1\r\nHost: " + kHost +
         "\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
         "\r\nAuthorization: Token " + kKey + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string LabPath() { return kLab; }

}  // namespace review
