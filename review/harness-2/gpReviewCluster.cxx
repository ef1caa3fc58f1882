#include "gpReviewCluster.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <filesystem>
#include <random>
#include <set>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace {

constexpr gpReviewMs kStartTime = 10000;
constexpr const char* kStandIns = "build/release/bin/";
constexpr const char* kPrograms = "target/bin/";

sockaddr_in
Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::string
AddressOf(int aPort)
{
  return "\"127.0.0.1:" + std::to_string(aPort) + "\"";
}

std::string
ReadFile(const std::string& aFile)
{
  std::ifstream file(aFile);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// The value of a field in a line of JSON without nested objects.
std::string
FieldOf(const std::string& aLine, const std::string& aName)
{
  const std::string key = "\"" + aName + "\":";
  std::size_t begin = aLine.find(key);
  if (begin == std::string::npos) {
    return "";
  }
  begin += key.size();
  if (aLine[begin] == '"') {
    ++begin;
    return aLine.substr(begin, aLine.find('"', begin) - begin);
  }
  return aLine.substr(begin, aLine.find_first_of(",}", begin) - begin);
}

} // namespace

int
gpReviewFreePort()
{
  // Below the range from which the system takes the ports of clients.
  constexpr int kFirst = 20000;
  constexpr int kCount = 12000;
  static std::mt19937 numbers{ std::random_device{}() };
  static std::set<int> taken;
  for (int attempt = 0; attempt < kCount; ++attempt) {
    const int port = kFirst + static_cast<int>(numbers() % kCount);
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    const bool isFree = bind(listener,
                             reinterpret_cast<const sockaddr*>(&address),
                             sizeof(address)) == 0;
    close(listener);
    if (isFree && taken.insert(port).second) {
      return port;
    }
  }
  throw gpReviewFailure{ "no free port" };
}

gpReviewMs
gpReviewNow()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
gpReviewSleep(gpReviewMs aTime)
{
  usleep(static_cast<useconds_t>(std::max<gpReviewMs>(aTime, 0) * 1000));
}

bool
gpReviewHasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

int
gpReviewCountPairs(const std::vector<gpReviewEvent>& aEvents)
{
  std::map<std::string, std::set<std::string>> running;
  int pairs = 0;
  for (const gpReviewEvent& event : aEvents) {
    auto& runs = running[event.task_];
    if (event.event_ == "started") {
      pairs += static_cast<int>(runs.size());
      runs.insert(event.run_);
    } else {
      runs.erase(event.run_);
    }
  }
  return pairs;
}

gpReviewProcess::gpReviewProcess(std::vector<std::string> aCommand,
                                 std::string aOutput)
  : command_(std::move(aCommand))
  , output_(std::move(aOutput))
{
}

gpReviewProcess::~gpReviewProcess()
{
  Kill();
}

void
gpReviewProcess::Start()
{
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ < 0) {
    throw gpReviewFailure{ "fork failed" };
  }
  if (pid_ > 0) {
    return;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) {
    _exit(1);
  }
  const int file = open(output_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(file, STDOUT_FILENO);
  dup2(file, STDERR_FILENO);
  std::vector<char*> arguments;
  for (std::string& word : command_) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  execv(arguments[0], arguments.data());
  _exit(127);
}

void
gpReviewProcess::Signal(int aSignal)
{
  if (pid_ > 0) {
    kill(pid_, aSignal);
  }
}

void
gpReviewProcess::Kill()
{
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
}

bool
gpReviewProcess::IsRunning()
{
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = 0;
  }
  return pid_ > 0;
}

int
gpReviewProcess::WaitForPort(const std::string& aPurpose)
{
  const gpReviewMs end = gpReviewNow() + kStartTime;
  while (gpReviewNow() < end) {
    std::istringstream lines(ReadFile(output_));
    for (std::string line; std::getline(lines, line);) {
      if (FieldOf(line, "purpose") == aPurpose) {
        const std::string address = FieldOf(line, "detail");
        return std::stoi(address.substr(address.rfind(':') + 1));
      }
    }
    gpReviewSleep(10);
  }
  throw gpReviewFailure{ command_[0] + " doesn't listen" };
}

gpReviewCall::gpReviewCall(int aPort)
  : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  const sockaddr_in address = Loopback(aPort);
  const int on = 1;
  setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (connect(socket_,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(socket_);
    socket_ = -1;
  }
}

gpReviewCall::~gpReviewCall()
{
  if (socket_ >= 0) {
    close(socket_);
  }
}

void
gpReviewCall::Send(const std::string& aMethod,
                   const std::string& aPath,
                   const std::string& aBody,
                   const std::map<std::string, std::string>& aHeaders)
{
  std::string text = aMethod + " " + aPath + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  if (aMethod == "POST") {
    text += "Content-Type: application/json\r\n";
  }
  text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  text += aBody;
  if (socket_ >= 0) {
    send(socket_, text.data(), text.size(), MSG_NOSIGNAL);
  }
}

gpReviewAnswer
gpReviewCall::Receive(gpReviewMs aTimeout)
{
  const gpReviewMs end = gpReviewNow() + aTimeout;
  std::string text;
  while (socket_ >= 0 && gpReviewNow() < end) {
    pollfd ready{ socket_, POLLIN, 0 };
    if (poll(&ready, 1, static_cast<int>(end - gpReviewNow())) <= 0) {
      break;
    }
    char chunk[4096];
    const ssize_t size = recv(socket_, chunk, sizeof(chunk), 0);
    if (size <= 0) {
      break;
    }
    text.append(chunk, static_cast<std::size_t>(size));
    const std::size_t header = text.find("\r\n\r\n");
    if (header == std::string::npos) {
      continue;
    }
    std::string lower = text.substr(0, header);
    std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
    const std::size_t at = lower.find("content-length:");
    const std::size_t length =
      at == std::string::npos ? 0 : std::stoul(lower.substr(at + 15));
    if (text.size() >= header + 4 + length) {
      return { std::stoi(text.substr(9, 3)), text.substr(header + 4, length) };
    }
  }
  return {};
}

std::string
gpReviewCall::Lose(gpReviewMs aTimeout)
{
  pollfd ready{ socket_, POLLIN, 0 };
  if (socket_ < 0 || poll(&ready, 1, static_cast<int>(aTimeout)) <= 0) {
    return "";
  }
  char chunk[4096];
  const ssize_t size = recv(socket_, chunk, sizeof(chunk), MSG_PEEK);
  const linger reset{ 1, 0 };
  setsockopt(socket_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  close(socket_);
  socket_ = -1;
  return size > 0 ? std::string(chunk, static_cast<std::size_t>(size)) : "";
}

gpReviewCluster::gpReviewCluster(std::size_t aEntries,
                                 std::size_t aGuards,
                                 const std::string& aRecord)
  : record_(aRecord)
{
  std::string folder =
    std::filesystem::temp_directory_path() / "gpReviewXXXXXX";
  if (mkdtemp(folder.data()) == nullptr) {
    throw gpReviewFailure{ "no temporary folder" };
  }
  folder_ = folder;
  const std::vector<std::string> anyPorts = {
    "--listen", "127.0.0.1:0", "--control", "127.0.0.1:0"
  };
  const auto startStandIn = [&](const std::string& aProgram,
                                const std::string& aName,
                                const std::vector<std::string>& aMore) {
    std::vector<std::string> command{ kStandIns + aProgram };
    command.insert(command.end(), anyPorts.begin(), anyPorts.end());
    command.insert(command.end(), aMore.begin(), aMore.end());
    standIns_.push_back(std::make_unique<gpReviewProcess>(
      command, folder_ + "/" + aName + ".out"));
    standIns_.back()->Start();
    return standIns_.back().get();
  };
  gpReviewProcess* store = startStandIn("gp-stand-in-store", "store", {});
  storePort_ = store->WaitForPort("service");
  gpReviewCall control(store->WaitForPort("control"));
  control.Send(
    "POST",
    "/control",
    R"({"configuration":{"version":7,"services":[{"name":"ponds",)"
    R"("enforcesCapacity":true}],"routes":[{"name":"hold","host":"ponds",)"
    R"("pathPrefix":"/hold/","timeoutMs":1500,"sloMs":60,"priority":1,)"
    R"("service":"ponds","maxAttempts":3,"stretch":1.6}],"limits":{}}})",
    { { "Host", "control" } });
  control.Receive(kStartTime);
  for (std::size_t index = 0; index < aEntries; ++index) {
    links_.push_back(gpReviewFreePort());
    callers_.push_back(gpReviewFreePort());
  }
  for (std::size_t index = 0; index < aEntries; ++index) {
    const std::string name = "entry-" + std::to_string(index);
    const std::string file = WriteSettings(
      name,
      Common(name) + R"("links":{"listen":)" + AddressOf(links_[index]) +
        R"(},"processor":{"cores":0.25},"callers":{"listen":)" +
        AddressOf(callers_[index]) + "}}");
    entries_.push_back(std::make_unique<gpReviewProcess>(
      std::vector<std::string>{
        std::string(kPrograms) + "gypsumpoint-entry", "--config", file },
      folder_ + "/" + name + ".out"));
    entries_.back()->Start();
  }
  for (std::size_t index = 0; index < aGuards; ++index) {
    const std::string number = std::to_string(index);
    journals_.push_back(folder_ + "/worker-" + number + ".journal");
    gpReviewProcess* worker = startStandIn("gp-stand-in-worker",
                                           "worker-" + number,
                                           { "--journal", journals_.back() });
    const std::string name = "guard-" + number;
    const int heartbeats = gpReviewFreePort();
    const std::string file = WriteSettings(
      name,
      Common(name) + R"("links":{"listen":)" + AddressOf(gpReviewFreePort()) +
        R"(},"target":{"listen":)" + AddressOf(heartbeats) +
        R"(,"service":"ponds","address":)" +
        AddressOf(worker->WaitForPort("service")) + "}}");
    guards_.push_back(std::make_unique<gpReviewProcess>(
      std::vector<std::string>{
        std::string(kPrograms) + "gypsumpoint-guard", "--config", file },
      folder_ + "/" + name + ".out"));
    guards_.back()->Start();
    gpReviewCall workerControl(worker->WaitForPort("control"));
    workerControl.Send("POST",
                       "/control",
                       R"({"guard":)" + AddressOf(heartbeats) + "}",
                       { { "Host", "control" } });
    workerControl.Receive(kStartTime);
  }
}

gpReviewCluster::~gpReviewCluster()
{
  entries_.clear();
  guards_.clear();
  standIns_.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string
gpReviewCluster::WriteSettings(const std::string& aName,
                               const std::string& aText)
{
  const std::string file = folder_ + "/" + aName + ".json";
  std::ofstream(file) << aText;
  return file;
}

std::string
gpReviewCluster::Common(const std::string& aName) const
{
  std::string entries;
  for (const int port : links_) {
    entries += (entries.empty() ? "" : ",") + AddressOf(port);
  }
  return R"({"name":")" + aName +
         R"(","site":{"region":"gulf-south","data_centre":"gulf-south-a"},)"
         R"("status":{"listen":"127.0.0.1:0"},"grace_ms":6000,)"
         R"("store":{"address":)" +
         AddressOf(storePort_) +
         R"(,"partitions":24},"entries":{"addresses":[)" + entries + "]},";
}

std::string
gpReviewCluster::JobBody(int aTasks, int aRunMs)
{
  return R"({"spec":"{\"run_ms\":)" + std::to_string(aRunMs) +
         R"(}","bestEffort":true,"steps":[{"count":)" + std::to_string(aTasks) +
         R"(,"cpu":500,"memMb":64,"estimateMs":)" + std::to_string(aRunMs) +
         "}]}";
}

std::string
gpReviewCluster::FailingJobBody(int aRunMs)
{
  std::string body = JobBody(1, aRunMs);
  body.insert(body.find("}\",\"bestEffort"), R"(,\"fails\":true)");
  return body;
}

std::string
gpReviewCluster::NewId()
{
  static std::mt19937_64 numbers{ std::random_device{}() };
  constexpr const char* kDigits = "0123456789abcdef";
  std::string id;
  for (int digit = 0; digit < 16; ++digit) {
    id += kDigits[numbers() % 16];
  }
  return id;
}

std::map<std::string, std::string>
gpReviewCluster::ClientHeaders(int aDeadlineMs)
{
  return { { "Host", kHost },
           { "Gypsumpoint-Deadline-Ms", std::to_string(aDeadlineMs) } };
}

void
gpReviewCluster::WaitUntilServing()
{
  const gpReviewMs end = gpReviewNow() + 2 * kStartTime;
  for (const int port : callers_) {
    int status = 0;
    while (status != 200) {
      if (gpReviewNow() > end) {
        throw gpReviewFailure{ "the deployment doesn't serve" };
      }
      gpReviewSleep(50);
      gpReviewCall call(port);
      call.Send("POST", kPrefix + NewId(), JobBody(1, 1), ClientHeaders(1500));
      status = call.Receive(2000).status_;
    }
  }
}

std::vector<gpReviewEvent>
gpReviewCluster::ListEvents(const std::string& aJob) const
{
  std::vector<gpReviewEvent> events;
  for (std::size_t index = 0; index < journals_.size(); ++index) {
    std::istringstream lines(ReadFile(journals_[index]));
    for (std::string line; std::getline(lines, line);) {
      const std::string task = FieldOf(line, "task");
      const std::string at = FieldOf(line, "at_us");
      if (task.starts_with(aJob + ".") && !at.empty()) {
        events.push_back({ "worker-" + std::to_string(index),
                           task,
                           FieldOf(line, "number"),
                           FieldOf(line, "event"),
                           std::stoll(at) / 1000,
                           std::stoll(at) });
      }
    }
  }
  std::stable_sort(events.begin(),
                   events.end(),
                   [](const gpReviewEvent& aLeft, const gpReviewEvent& aRight) {
                     return aLeft.atUs_ < aRight.atUs_;
                   });
  return events;
}

void
gpReviewCluster::Note(const std::string& aText)
{
  record_ << gpReviewNow() - beganAt_ << " ms: " << aText << std::endl;
}

void
gpReviewCluster::NoteEvents(const std::string& aJob)
{
  for (const gpReviewEvent& event : ListEvents(aJob)) {
    record_ << event.at_ - beganAt_ << " ms (at " << event.atUs_
            << " us): " << event.worker_ << ": " << event.task_ << " run "
            << event.run_ << " " << event.event_ << std::endl;
  }
}
