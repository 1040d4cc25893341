#pragma once

#include "hemlockproxy/decisions/AllowanceLender.h"
#include "hemlockproxy/decisions/Allowances.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace hemlockproxy::decisions::test {

/// Daemons in failure domains that share allowances over links with faults, and the oracle: it
/// counts the admissions of each customer in every window of 5 s.
class AllowanceWorld
{
public:
  using Time = model::TimePoint;
  using Ms = std::chrono::milliseconds;
  static constexpr Ms kStep{ 5 };
  static constexpr Ms kWindow{ 5000 };
  /// How long a request waits for a token.
  static constexpr Ms kWait{ 60 };

  struct Result
  {
    std::size_t asked_ = 0;
    std::size_t admitted_ = 0;
    std::size_t mostInWindow_ = 0;
  };

  AllowanceWorld(std::size_t aDomains,
                 std::size_t aDaemons,
                 std::vector<model::Customer> aCustomers)
    : customers_(model::MakeCustomerList(std::move(aCustomers)))
    , domains_(aDomains)
    , nodes_(aDaemons)
    , random_(1)
  {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      nodes_[i].domainLender_ = i % domains_;
      Start(i);
    }
    results_.resize(customers_->customers_.size());
    admissions_.resize(customers_->customers_.size());
    load_.resize(customers_->customers_.size());
  }

  /// Sets the requests per second of a customer; they arrive at random daemons from aFirst to
  /// aLast.
  void Load(std::size_t aCustomer, double aPerSecond, std::size_t aFirst, std::size_t aLast)
  {
    load_[aCustomer] = { aPerSecond, aFirst, aLast };
  }

  void Run(Ms aTime)
  {
    for (const Time end = now_ + aTime; now_ < end;) {
      now_ += kStep;
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (!nodes_[i].frozen_) {
          RunNode(i);
        }
      }
      Arrive();
      CheckPools();
    }
  }

  void Restart(std::size_t aNode) { Start(aNode); }
  void Seed(std::uint64_t aSeed) { random_.seed(aSeed); }
  void ClearResults() { std::fill(results_.begin(), results_.end(), Result{}); }

  [[nodiscard]] const Result& Of(std::size_t aCustomer) const { return results_[aCustomer]; }
  [[nodiscard]] double Bound(std::size_t aCustomer) const
  {
    const auto& customer = customers_->customers_[aCustomer];
    return (customer.ratePerSecond_ * 5 + customer.burst_) * 1.1 + 20;
  }
  [[nodiscard]] const std::string& Violation() const { return violation_; }
  [[nodiscard]] Time Now() const { return now_; }
  [[nodiscard]] std::size_t Nodes() const { return nodes_.size(); }

  struct Node
  {
    std::unique_ptr<Allowances> allowances_;
    std::unique_ptr<AllowanceLender> domain_;
    std::unique_ptr<AllowanceLender> root_;
    bool frozen_ = false;
    /// Whom the node takes for the lenders.
    std::size_t domainLender_ = 0;
    std::size_t rootLender_ = 0;
    struct Message
    {
      Time due_;
      std::size_t from_;
      std::variant<AllowanceAsk, AllowanceGrant> content_;
    };
    std::deque<Message> inbox_;
    struct Waiting
    {
      std::size_t customer_;
      Time until_;
    };
    std::vector<Waiting> waiting_;
  };

  std::vector<Node>& All() { return nodes_; }
  /// Links with an end outside the same side lose everything while sides differ.
  std::vector<int> side_ = std::vector<int>(1024, 0);
  Ms delay_{ 4 };
  std::size_t messages_ = 0;
  std::size_t crossMessages_ = 0;
  std::size_t crossEntries_ = 0;
  std::size_t lenderMessages_ = 0;

private:
  struct Stream
  {
    double perSecond_ = 0;
    std::size_t first_ = 0;
    std::size_t last_ = 0;
    double due_ = 0;
  };

  static model::DaemonId Id(std::size_t aNode) { return model::DaemonId(std::to_string(aNode)); }
  static std::size_t NodeOf(const model::DaemonId& aId) { return std::stoul(aId.Value()); }

  void Start(std::size_t aNode)
  {
    Node& node = nodes_[aNode];
    const std::uint64_t epoch = ++epochs_;
    node.allowances_ = std::make_unique<Allowances>(epoch, now_);
    node.domain_ = std::make_unique<AllowanceLender>(AllowanceLevel::Domain, epoch, now_);
    node.root_ = std::make_unique<AllowanceLender>(AllowanceLevel::Root, epoch, now_);
    node.allowances_->Configure(now_, customers_);
    node.domain_->Configure(now_, customers_);
    node.root_->Configure(now_, customers_);
    node.allowances_->SetDaemons(now_, nodes_.size());
    node.waiting_.clear();
  }

  template <typename T>
  void Send(std::size_t aFrom, std::size_t aTo, T aContent, std::size_t aEntries)
  {
    ++messages_;
    if (aFrom % domains_ != aTo % domains_) {
      ++crossMessages_;
      crossEntries_ += aEntries;
    }
    lenderMessages_ += aTo == 0 || aFrom == 0 ? 1 : 0;
    if (side_[aFrom] == side_[aTo]) {
      const Time due = aFrom == aTo ? now_ : now_ + delay_;
      nodes_[aTo].inbox_.push_back({ due, aFrom, std::move(aContent) });
    }
  }

  void RunNode(std::size_t aNode)
  {
    Node& node = nodes_[aNode];
    std::deque<Node::Message> inbox;
    std::swap(inbox, node.inbox_);
    for (auto& message : inbox) {
      if (message.due_ > now_) {
        node.inbox_.push_back(std::move(message));
        continue;
      }
      const auto from = Id(message.from_);
      if (const auto* ask = std::get_if<AllowanceAsk>(&message.content_)) {
        auto& lender = ask->level_ == AllowanceLevel::Domain ? *node.domain_ : *node.root_;
        auto grant = lender.Answer(now_, from, *ask);
        const auto entries = grant.loans_.size();
        Send(aNode, message.from_, std::move(grant), entries);
      } else {
        const auto& grant = std::get<AllowanceGrant>(message.content_);
        node.allowances_->Take(now_, from, grant);
        node.domain_->Take(now_, from, grant);
      }
    }
    std::erase_if(node.waiting_, [&](const Node::Waiting& aOne) {
      return Try(aNode, aOne.customer_, true).admitted_ || now_ >= aOne.until_;
    });
    if (node.allowances_->AskDue(now_)) {
      auto ask = node.allowances_->Ask(now_, Id(node.domainLender_));
      const auto entries = ask.demands_.size();
      Send(aNode, node.domainLender_, std::move(ask), entries);
    }
    if (node.domain_->AskDue(now_)) {
      auto ask = node.domain_->Ask(now_, Id(node.rootLender_));
      const auto entries = ask.demands_.size();
      Send(aNode, node.rootLender_, std::move(ask), entries);
    }
  }

  AllowanceVerdict Try(std::size_t aNode, std::size_t aCustomer, bool aAgain)
  {
    const auto& customer = customers_->customers_[aCustomer];
    const auto verdict = nodes_[aNode].allowances_->Admit(now_, customer.name_, aAgain);
    if (verdict.admitted_) {
      auto& times = admissions_[aCustomer];
      times.push_back(now_);
      while (times.front() <= now_ - kWindow) {
        times.pop_front();
      }
      auto& result = results_[aCustomer];
      ++result.admitted_;
      result.mostInWindow_ = std::max(result.mostInWindow_, times.size());
      if (static_cast<double>(times.size()) > Bound(aCustomer)) {
        violation_ = customer.name_.Value() + ": " + std::to_string(times.size()) +
                     " requests in a window, bound " + std::to_string(Bound(aCustomer));
      }
    }
    return verdict;
  }

  /// No part of an allowance may be made over to two lenders, which would each lend it, or be lent
  /// to two daemons.
  void CheckPools()
  {
    double domains = 0;
    double roots = 0;
    for (const Node& node : nodes_) {
      domains += node.domain_->Pool(now_);
      roots += node.root_->Pool(now_);
    }
    constexpr double kMost = 1 + 1e-6;
    // Once in 100 ms; the figures of all customers take time.
    if (now_.time_since_epoch() % Ms(100) == Ms(0)) {
      std::map<model::CustomerName, double> lent;
      for (const Node& node : nodes_) {
        for (const auto& [name, figures] : node.allowances_->Figures(now_)) {
          lent[name] += figures.lentPerSecond_ / figures.ratePerSecond_;
        }
      }
      for (const auto& [name, share] : lent) {
        if (share > kMost) {
          violation_ = name.Value() + ": " + std::to_string(share) + " of the allowance is lent";
        }
      }
    }
    if (domains > kMost || roots > kRootPart * kMost) {
      violation_ = "lenders hold " + std::to_string(domains) + " of all allowances and " +
                   std::to_string(roots) + " at the root";
    }
  }

  void Arrive()
  {
    for (std::size_t c = 0; c < load_.size(); ++c) {
      Stream& stream = load_[c];
      stream.due_ += stream.perSecond_ * std::chrono::duration<double>(kStep).count();
      for (; stream.due_ >= 1; stream.due_ -= 1) {
        const auto node =
          std::uniform_int_distribution<std::size_t>(stream.first_, stream.last_)(random_);
        ++results_[c].asked_;
        if (nodes_[node].frozen_) {
          continue;
        }
        if (const auto verdict = Try(node, c, false); !verdict.admitted_ && verdict.askable_) {
          nodes_[node].waiting_.push_back({ c, now_ + kWait });
        }
      }
    }
  }

  model::CustomerListPtr customers_;
  std::size_t domains_;
  std::vector<Node> nodes_;
  std::mt19937_64 random_;
  Time now_ = Time{} + std::chrono::hours(1);
  std::uint64_t epochs_ = 0;
  std::vector<Result> results_;
  std::vector<std::deque<Time>> admissions_;
  std::vector<Stream> load_;
  std::string violation_;
};

} // namespace hemlockproxy::decisions::test
