// Body of a caller's request, in blocks that are reserved in the host's budget
// one by one. Attempts share it with the caller's request.
#ifndef DOTTERELLEAD_TRAFFIC_REQUEST_BODY_H_
#define DOTTERELLEAD_TRAFFIC_REQUEST_BODY_H_

#include <algorithm>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "dotterellead/net.h"
#include "host_budget.h"

namespace dotterellead::traffic {

class body_blocks {
 public:
  // Without an account the memory is not limited.
  body_blocks() = default;
  explicit body_blocks(memory_account account) : account_(std::move(account)) {}

  // Sets the length that the request states, which the blocks do not exceed.
  void SetExpectedSize(std::size_t size) { expected_size_ = size; }
  // Returns false if the host has no room.
  bool Append(std::string_view bytes) {
    const time_point now = std::chrono::steady_clock::now();
    account_.NoteProgress(now);
    while (!bytes.empty()) {
      if (free_ == 0 && !AddBlock(now))
        return false;
      const std::size_t part = std::min(free_, bytes.size());
      block& last = blocks_.back();
      std::copy_n(bytes.data(), part, last.bytes.get() + last.size);
      last.size += part;
      free_ -= part;
      size_ += part;
      bytes.remove_prefix(part);
    }
    return true;
  }
  // Reserves `size` for the request's header beside the body, in place of what
  // was reserved for it before. Returns false if the host has no room.
  bool ReserveHeader(std::size_t size) {
    const std::size_t reserved = reserved_ - header_size_ + size;
    if (!account_.Resize({reserved}, std::chrono::steady_clock::now())) {
      has_no_room_ = true;
      return false;
    }
    reserved_ = reserved;
    header_size_ = size;
    return true;
  }
  // Releases the memory; nothing can be appended from then on.
  void Release() {
    blocks_ = std::vector<block>();
    size_ = free_ = reserved_ = header_size_ = 0;
    account_.Resize({0}, {});
  }

  memory_account& account() { return account_; }
  // Whether an Append or a ReserveHeader found no room.
  bool has_no_room() const { return has_no_room_; }
  std::size_t size() const { return size_; }
  std::size_t block_count() const { return blocks_.size(); }
  std::string_view BlockAt(std::size_t i) const {
    return {blocks_[i].bytes.get(), blocks_[i].size};
  }

 private:
  // Small first blocks, so that many small bodies take little.
  static constexpr std::size_t kFirstBlock = 2 << 10;
  static constexpr std::size_t kBlock = 16 << 10;
  struct block {
    std::unique_ptr<char[]> bytes;
    std::size_t size = 0;
  };

  bool AddBlock(time_point now) {
    std::size_t size = blocks_.empty() ? kFirstBlock : kBlock;
    if (expected_size_ > size_)
      size = std::min(kBlock, expected_size_ - size_);
    if (!account_.Resize({reserved_ + size + sizeof(block)}, now)) {
      has_no_room_ = true;
      return false;
    }
    reserved_ += size + sizeof(block);
    blocks_.push_back({std::unique_ptr<char[]>(new char[size]), 0});
    free_ = size;
    return true;
  }

  memory_account account_;
  std::vector<block> blocks_;
  std::size_t size_ = 0;
  std::size_t free_ = 0;
  // What the account holds, the header included.
  std::size_t reserved_ = 0;
  std::size_t header_size_ = 0;
  std::size_t expected_size_ = 0;
  bool has_no_room_ = false;
};

// The Body type of Beast for such a body.
struct block_body {
  struct value_type {
    std::shared_ptr<body_blocks> blocks = std::make_shared<body_blocks>();
    std::size_t size() const { return blocks->size(); }
    bool empty() const { return size() == 0; }
  };

  static std::uint64_t size(const value_type& body) { return body.size(); }

  class reader {
   public:
    template <bool isRequest, class Fields>
    reader(http::header<isRequest, Fields>&, value_type& body) : body_(body) {}
    void init(const boost::optional<std::uint64_t>& length, error_code& ec) {
      ec = {};
      if (length)
        body_.blocks->SetExpectedSize(static_cast<std::size_t>(*length));
    }
    template <class Buffers>
    std::size_t put(const Buffers& buffers, error_code& ec) {
      std::size_t taken = 0;
      ec = {};
      for (auto it = asio::buffer_sequence_begin(buffers);
           it != asio::buffer_sequence_end(buffers); ++it) {
        const asio::const_buffer part = *it;
        if (!body_.blocks->Append(
                {static_cast<const char*>(part.data()), part.size()})) {
          ec = http::error::buffer_overflow;
          return taken;
        }
        taken += part.size();
      }
      return taken;
    }
    void finish(error_code& ec) { ec = {}; }

   private:
    value_type& body_;
  };

  class writer {
   public:
    using const_buffers_type = asio::const_buffer;
    template <bool isRequest, class Fields>
    writer(const http::header<isRequest, Fields>&, const value_type& body)
        : body_(body) {}
    void init(error_code& ec) { ec = {}; }
    boost::optional<std::pair<const_buffers_type, bool>> get(error_code& ec) {
      ec = {};
      if (next_ == body_.blocks->block_count())
        return boost::none;
      const std::string_view block = body_.blocks->BlockAt(next_++);
      return std::pair(const_buffers_type(block.data(), block.size()),
                       next_ < body_.blocks->block_count());
    }

   private:
    const value_type& body_;
    std::size_t next_ = 0;
  };
};

}  // namespace dotterellead::traffic

#endif  // DOTTERELLEAD_TRAFFIC_REQUEST_BODY_H_
