// Clients that send bookings on kept connections, and the count of those that
// are lost.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "servers.h"
#include "support.h"

namespace review {

class Bookings {
 public:
  // Each client sends one booking after the other on its connection until
  // Stop(), or until the connection ends.
  Bookings(Record* record, PlainServer* server, uint16_t front, int clients);
  ~Bookings();
  Bookings(const Bookings&) = delete;
  Bookings& operator=(const Bookings&) = delete;

  void Stop() { stopping_ = true; }
  int answered() const { return answered_; }
  // Waits for the clients. Returns how many bookings, on connections on which
  // an earlier one was answered, were passed on to the server and ended with
  // their connection, without an answer.
  int CountLost();

 private:
  void RunClient(int number, uint16_t front);

  Record* const record_;
  PlainServer* const server_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> answered_ = 0;
  std::atomic<int> lost_ = 0;
  std::vector<std::thread> clients_;
};

}  // namespace review
