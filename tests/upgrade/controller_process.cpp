#include "upgrade/controller_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <fstream>
#include <stdexcept>
#include <system_error>

namespace burlpoint::tests {

namespace {

constexpr int kExecFailed = 127;

void require(bool succeeded, const char* operation) {
    if (!succeeded) throw std::system_error(errno, std::generic_category(), operation);
}

/// Executes the controller in the forked child. Exits with `kExecFailed` if that fails or the parent has
/// died.
[[noreturn]] void execController(const char* binary, const char* settingsFile, int log, pid_t parent) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(kExecFailed);
    dup2(log, STDERR_FILENO);
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execl(binary, binary, "--config", settingsFile, static_cast<char*>(nullptr));
    _exit(kExecFailed);
}

}  // namespace

TemporaryDirectory::TemporaryDirectory() {
    std::string name = (std::filesystem::temp_directory_path() / "burlpoint-upgrade-XXXXXX").string();
    require(mkdtemp(name.data()) != nullptr, "mkdtemp");
    path_ = name;
}

TemporaryDirectory::~TemporaryDirectory() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

ReservedPort::ReservedPort() : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    require(socket_ >= 0, "socket");
    const int yes = 1;
    require(setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes) == 0, "setsockopt");
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    require(bind(socket_, reinterpret_cast<sockaddr*>(&address), size) == 0, "bind");
    require(getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size) == 0, "getsockname");
    address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

ReservedPort::~ReservedPort() { close(socket_); }

ControllerProcess::ControllerProcess(const std::string& binary, const std::string& settingsFile,
                                     const std::string& log) {
    const int logFile = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    require(logFile >= 0, "open");
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ == 0) execController(binary.c_str(), settingsFile.c_str(), logFile, parent);
    close(logFile);
    require(pid_ > 0, "fork");
}

ControllerProcess::~ControllerProcess() {
    if (exited_) return;
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
}

bool ControllerProcess::isRunning() {
    if (!exited_ && waitpid(pid_, nullptr, WNOHANG) == pid_) exited_ = true;
    return !exited_;
}

std::size_t ControllerProcess::peakMemoryBytes() const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    std::string field;
    std::size_t kibibytes = 0;
    while (status >> field && field != "VmHWM:") {
    }
    status >> kibibytes;
    require(static_cast<bool>(status), "read VmHWM");
    return kibibytes * 1024;
}

}  // namespace burlpoint::tests
