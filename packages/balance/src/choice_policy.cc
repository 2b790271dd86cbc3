#include <random>
#include <tuple>

#include "dotterellead/balance.h"

namespace dotterellead {
namespace {

class leased_policy : public choice_policy {
 public:
  bool uses_leases() const override { return true; }

  std::size_t Choose(std::span<const choice_candidate> candidates) override {
    std::size_t best = 0;
    for (std::size_t i = 1; i < candidates.size(); ++i) {
      if (Rank(candidates[i]) < Rank(candidates[best]))
        best = i;
    }
    return best;
  }

 private:
  static std::tuple<bool, double> Rank(const choice_candidate& c) {
    return {!c.is_local, c.cost_us};
  }
};

class forwarded_policy : public leased_policy {
 public:
  bool forwards() const override { return true; }
};

class round_robin_policy : public choice_policy {
 public:
  bool uses_leases() const override { return false; }

  std::size_t Choose(std::span<const choice_candidate> candidates) override {
    std::size_t next = 0;
    while (next < candidates.size() && candidates[next].server <= last_)
      ++next;
    if (next == candidates.size())
      next = 0;
    last_ = candidates[next].server;
    return next;
  }

 private:
  server_id last_;
};

class two_choices_policy : public choice_policy {
 public:
  explicit two_choices_policy(std::uint64_t seed) : random_(seed) {}
  bool uses_leases() const override { return false; }

  std::size_t Choose(std::span<const choice_candidate> candidates) override {
    const std::size_t first = random_() % candidates.size();
    const std::size_t second = random_() % candidates.size();
    return Load(candidates[second]) < Load(candidates[first]) ? second : first;
  }

 private:
  static double Load(const choice_candidate& c) {
    return static_cast<double>(c.own_in_flight + c.reported_in_flight) /
           std::max(c.slots, 1U);
  }

  std::mt19937_64 random_;
};

}  // namespace

std::unique_ptr<choice_policy> MakeChoicePolicy(choice_policy_kind kind,
                                                std::uint64_t seed) {
  switch (kind) {
    case choice_policy_kind::kLeased:
      return std::make_unique<leased_policy>();
    case choice_policy_kind::kForwarded:
      return std::make_unique<forwarded_policy>();
    case choice_policy_kind::kRoundRobin:
      return std::make_unique<round_robin_policy>();
    case choice_policy_kind::kTwoChoices:
      return std::make_unique<two_choices_policy>(seed);
  }
  return std::make_unique<leased_policy>();
}

}  // namespace dotterellead
