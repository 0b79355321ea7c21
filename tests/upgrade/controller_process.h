#pragma once

// Controllers as real processes, with the ports and files that they need. Each object owns its resource and
// releases it when it is destroyed.

#include <sys/types.h>

#include <cstddef>
#include <filesystem>
#include <string>

namespace burlpoint::tests {

/// A new temporary directory that is removed with its contents when the object is destroyed.
class TemporaryDirectory {
  public:
    TemporaryDirectory();
    ~TemporaryDirectory();
    TemporaryDirectory(const TemporaryDirectory&) = delete;
    TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

    const std::filesystem::path& path() const { return path_; }

  private:
    std::filesystem::path path_;
};

/// A loopback port that stays reserved while controllers are restarted. It is held by a bound socket that
/// never listens, so that the kernel does not assign the port to another process. A controller can still
/// listen on it, because its listener sets SO_REUSEADDR.
class ReservedPort {
  public:
    ReservedPort();
    ~ReservedPort();
    ReservedPort(const ReservedPort&) = delete;
    ReservedPort& operator=(const ReservedPort&) = delete;

    const std::string& address() const { return address_; }

  private:
    int socket_;
    std::string address_;
};

/// A controller as a child process. It is killed when the object is destroyed, and by the kernel when the
/// test process dies.
class ControllerProcess {
  public:
    /// Starts `binary` with the settings file. Its standard error is appended to the file `log`.
    ControllerProcess(const std::string& binary, const std::string& settingsFile, const std::string& log);
    /// Kills the process and reaps it.
    ~ControllerProcess();
    ControllerProcess(const ControllerProcess&) = delete;
    ControllerProcess& operator=(const ControllerProcess&) = delete;

    /// Whether the process is still running; false once it has exited by itself.
    bool isRunning();
    /// The most memory that the process has held since it was started, in bytes.
    std::size_t peakMemoryBytes() const;

  private:
    pid_t pid_;
    bool exited_ = false;
};

}  // namespace burlpoint::tests
