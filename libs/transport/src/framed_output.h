// An output of RESTinio that writes the head of a response with the fields that
// it was given and no others, and then bytes as they stand.
//
// RESTinio's own outputs each decide on the framing: those with a length write
// one always, also beside chunks, and the chunked one ends each response as a
// complete one.
#pragma once

#include <restinio/all.hpp>
#include <string>
#include <utility>

namespace bilberrypitch {

struct FramedOutput {};

}  // namespace bilberrypitch

namespace restinio {

template <>
class response_builder_t<bilberrypitch::FramedOutput> final
    : public base_response_builder_t<
          response_builder_t<bilberrypitch::FramedOutput>> {
 public:
  using base_response_builder_t::base_response_builder_t;

  // Writes the head, if it was not written, and `bytes`. `written` is called
  // when the connection has taken them; it may be empty.
  void Write(std::string bytes, write_status_cb_t written) {
    Output(std::move(bytes), response_parts_attr_t::not_final_parts,
           std::move(written));
  }

  // The same, and ends the response, which closes the connection if the head
  // says so. Nothing may be written afterwards.
  void Finish(std::string bytes, write_status_cb_t written) {
    Output(std::move(bytes), response_parts_attr_t::final_parts,
           std::move(written));
    m_connection.reset();
  }

 private:
  void Output(std::string bytes, response_parts_attr_t part,
              write_status_cb_t written) {
    writable_items_container_t items;
    size_t status_line_size = 0;
    if (!head_written_) {
      head_written_ = true;
      keeps_connection_ = m_header.should_keep_alive();
      status_line_size = calculate_status_line_size();
      items.emplace_back(impl::create_header_string(
          m_header,
          impl::content_length_field_presence_t::skip_content_length));
    }
    if (!bytes.empty()) {
      items.emplace_back(std::move(bytes));
    }
    write_group_t group{std::move(items)};
    group.status_line_size(status_line_size);
    if (written) {
      group.after_write_notificator(std::move(written));
    }
    m_connection->write_response_parts(
        m_request_id,
        response_output_flags_t{part,
                                response_connection_attr(keeps_connection_)},
        std::move(group));
  }

  bool head_written_ = false;
  bool keeps_connection_ = true;  // As the head says.
};

}  // namespace restinio
