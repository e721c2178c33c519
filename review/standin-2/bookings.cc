// Implements the clients that send bookings.
#include "bookings.h"

namespace review {
namespace {

constexpr int kDeadlineMs = 2500;

}  // namespace

Bookings::Bookings(Record* record, PlainServer* server, uint16_t front,
                   int clients)
    : record_(record), server_(server) {
  for (int i = 0; i < clients; ++i) {
    clients_.emplace_back([this, i, front] { RunClient(i, front); });
  }
}

Bookings::~Bookings() {
  Stop();
  for (std::thread& it : clients_) {
    if (it.joinable()) {
      it.join();
    }
  }
}

int Bookings::CountLost() {
  Stop();
  for (std::thread& it : clients_) {
    it.join();
  }
  return lost_;
}

void Bookings::RunClient(int number, uint16_t front) {
  Connection connection = Connection::To(front);
  std::string rest;
  bool is_kept = false;
  for (int i = 0; !stopping_; ++i) {
    const std::string id =
        "b" + std::to_string(number) + "-" + std::to_string(i);
    if (!connection.Send(
            RequestText("/puxa403/2f", id, kDeadlineMs, "", "{}"))) {
      return;
    }
    Message answer = ReadMessage(&connection, &rest, kDeadlineMs, false);
    if (!answer.complete) {
      const bool is_lost = is_kept && server_->HasRun(id);
      lost_ += is_lost ? 1 : 0;
      record_->Add("client: booking " + id + " ends without an answer" +
                   (is_lost ? ", though the server ran it" : ""));
      return;
    }
    if (answer.status() != 200) {
      record_->Add("client: booking " + id + " is answered with " +
                   std::to_string(answer.status()));
    }
    ++answered_;
    is_kept = true;
  }
}

}  // namespace review
