// One entry instance: builds all parts, runs their ticks, and stops them in
// order.
#pragma once

#include <memory>

namespace bilberrypitch {

namespace schema {
class Settings;
}

class Node {
 public:
  // Binds the ports and starts. Throws std::exception when a port is taken.
  explicit Node(const schema::Settings& settings);
  ~Node();

  // A planned stop: takes nothing new, ends what is in flight, hands over.
  // Returns false when the time for it ran out.
  bool Drain();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bilberrypitch
