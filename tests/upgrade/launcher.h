#pragma once

// Controllers as real processes, with the ports and files that they need. Each object owns what it names and
// gives it back at its end.

#include <sys/types.h>

#include <filesystem>
#include <string>

namespace burlpoint::tests {

/// A directory of this test run that is removed at the end.
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

/// A port on loopback that stays the same while controllers come and go. A socket that is bound to it and
/// never listens keeps all others from being given the port; only a listener that asks to reuse addresses
/// gets it.
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

/// A controller as a real process. It ends with the object, and with the test if that is killed.
class ControllerProcess {
  public:
    /// Standard error is appended to the file `log`.
    ControllerProcess(const std::string& binary, const std::string& settingsFile, const std::string& log);
    /// Kills the process and waits for its end.
    ~ControllerProcess();
    ControllerProcess(const ControllerProcess&) = delete;
    ControllerProcess& operator=(const ControllerProcess&) = delete;

    /// False once the process has ended by itself.
    bool isRunning();

  private:
    pid_t pid_;
    bool ended_ = false;
};

}  // namespace burlpoint::tests
