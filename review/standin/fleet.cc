// Starts and ends the processes of a small deployment.
#include "fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace review {
namespace {

constexpr char kProgram[] = "target/apps/bilberrypitch/bilberrypitch";
constexpr char kLab[] = "target/tools/bilberrypitch_lab/bilberrypitch_lab";
constexpr int64_t kStoreCallMs = 2000;

std::string Base64(const std::string& bytes) {
  constexpr char kAlphabet[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      uint32_t byte =
          i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0;
      group = group << 8 | byte;
    }
    for (size_t j = 0; j < 4; ++j) {
      bool padding = i + j > bytes.size();
      text += padding ? '=' : kAlphabet[group >> (18 - 6 * j) & 63];
    }
  }
  return text;
}

}  // namespace

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

Record::Record(const std::string& path)
    : started_ms_(NowMs()), file_(std::fopen(path.c_str(), "w")) {}

Record::~Record() {
  if (file_ != nullptr) {
    std::fclose(file_);
  }
}

void Record::Line(const std::string& text) {
  std::lock_guard lock(mutex_);
  if (file_ != nullptr) {
    std::fprintf(file_, "%7lld %s\n",
                 static_cast<long long>(NowMs() - started_ms_), text.c_str());
    std::fflush(file_);
  }
}

Fleet::Fleet() {
  std::string name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  folder_ = mkdtemp(name.data());
}

Fleet::~Fleet() {
  for (const auto& [name, pid] : pids_) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

pid_t Fleet::Start(const std::string& name,
                   const std::vector<std::string>& args,
                   const std::string& boot_file) {
  std::string log = folder_ + "/" + name + ".log";
  std::vector<char*> argv;
  argv.reserve(args.size() + 1);
  for (const std::string& arg : args) {
    argv.push_back(const_cast<char*>(arg.c_str()));
  }
  argv.push_back(nullptr);
  pid_t child = fork();
  if (child == 0) {
    // The process ends with this one, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    setenv("BILBERRYPITCH_BOOT", boot_file.c_str(), 1);
    execv(argv[0], argv.data());
    _exit(127);
  }
  std::lock_guard lock(mutex_);
  pids_[name] = child;
  return child;
}

bool Fleet::StartStore() {
  store_port_ = FreePort();
  Start("store", {kLab, "store", "--port", std::to_string(store_port_)}, "");
  for (int64_t end = NowMs() + 10000; NowMs() < end; SleepMs(50)) {
    std::optional<Message> answer =
        Call(store_port_, "GET", "/lab/facts", "", kStoreCallMs);
    if (answer && answer->status() == 200) {
      return true;
    }
  }
  return false;
}

void Fleet::StartInstance(const std::string& name, const std::string& zone,
                          const std::vector<std::string>& zones,
                          const std::map<std::string, std::string>& settings,
                          const std::vector<std::string>& arguments) {
  fronts_[name] = FreePort();
  readies_[name] = FreePort();
  std::string peer = std::to_string(FreePort());
  std::map<std::string, std::string> fields = {
      {"node", name},
      {"role", "entry"},
      {"class", "front"},
      {"serves", "front"},
      {"ip", "127.0.0.1"},
      {"zone", zone},
      {"region", "r"},
      {"listen.front", "127.0.0.1:" + std::to_string(fronts_[name])},
      {"listen.ready", "127.0.0.1:" + std::to_string(readies_[name])},
      {"portRange", peer + "," + peer},
      {"bootstrap", "true"},
      {"limits.cpuShare", "0.25"},
      {"limits.cpus", "1"},
      {"limits.memoryMb", "260"},
      {"limits.maxFds", "4100"},
      {"beatMs", "1200"},
      {"bounds.contactMs", "3000"},
      {"bounds.drainMs", "2000"},
      {"bounds.graceS", "8"},
      {"bounds.applyMs", "2000"},
      {"bounds.revertMs", "250"},
      {"bounds.strictRevoke", "true"},
      {"bounds.revokeMs", "5000"},
      {"bounds.retryRatio", "0.2"},
      {"bounds.retryWindowS", "10"},
      {"bounds.retrySlack", "56"},
      {"bounds.quotaWindowS", "8"},
      {"bounds.quotaOver", "0.1"},
      {"bounds.quotaSlack", "17000"},
      {"bounds.fencing", "true"},
      {"bounds.leaseMs", "3000"},
      {"bounds.version_ms", "5000"},
      {"platform.addr", "127.0.0.1:" + std::to_string(store_port_)},
      {"platform.form", "kv"},
      {"platform.writesPerS", "400"},
      {"platform.readsPerS", "2000"},
      {"platform.historyS", "20"},
      {"platform.ttlMinMs", "1000"},
  };
  for (const std::string& other : zones) {
    fields["zones." + other] = "r";
  }
  for (const auto& [field, value] : settings) {
    fields[field] = value;
  }
  std::string path = folder_ + "/" + name + ".conf";
  std::ofstream file(path);
  for (const auto& [field, value] : fields) {
    file << field << "=" << value << "\n";
  }
  file.close();
  boot_files_[name] = path;
  arguments_[name] = arguments;
  RestartInstance(name);
}

void Fleet::RestartInstance(const std::string& name) {
  std::vector<std::string> args = {kProgram, "serve"};
  const std::vector<std::string>& further = arguments_.at(name);
  args.insert(args.end(), further.begin(), further.end());
  Start(name, args, boot_files_.at(name));
}

bool Fleet::WaitUntilReady(const std::string& name, int64_t timeout_ms) {
  for (int64_t end = NowMs() + timeout_ms; NowMs() < end; SleepMs(50)) {
    std::optional<Message> answer =
        Call(readies_.at(name), "GET", "/readyz", "", kStoreCallMs);
    if (answer && answer->status() == 200) {
      return true;
    }
  }
  return false;
}

void Fleet::WriteItem(const std::string& key, const std::string& value,
                      int64_t ttl_ms) {
  Call(store_port_, "POST", "/lab/write",
       R"({"key":")" + key + R"(","value":")" + Base64(value) +
           R"(","ttl_ms":)" + std::to_string(ttl_ms) + "}",
       kStoreCallMs);
}

void Fleet::RemoveItem(const std::string& key) {
  Call(store_port_, "POST", "/lab/remove", R"({"key":")" + key + R"("})",
       kStoreCallMs);
}

void Fleet::WriteConfig(int64_t version, const ConfigText& config) {
  WriteItem("op/config",
            R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
                config.routes + R"(],"services":[)" + config.services +
                R"(],"tenants":[)" + config.tenants +
                R"(],"limits":{"headerBytes":16384,"bodyBytes":4194304,)"
                R"("headerTimeoutMs":10000,"idleTimeoutMs":30000}})",
            0);
}

pid_t Fleet::pid(const std::string& name) {
  std::lock_guard lock(mutex_);
  return pids_.at(name);
}

void Fleet::Signal(const std::string& name, int signal) {
  kill(pid(name), signal);
}

bool Fleet::HasEnded(const std::string& name, int* status) {
  return waitpid(pid(name), status, WNOHANG) > 0;
}

}  // namespace review
