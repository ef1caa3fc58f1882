#include "gpMessageCounts.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace {

constexpr std::string_view kMetric = "gypsumpoint_messages_total";
/// Replicas that must grant a claim.
constexpr std::uint64_t kRequiredGrants = 2;

/** \class Sample
 * \brief The labels kind and direction and the value of one metric sample.
 */
struct Sample
{
  std::string kind_;
  std::string direction_;
  std::uint64_t value_ = 0;
  bool isValid_ = false;
};

/** \class SampleReader
 * \brief Parses `{name="value",...} number`.
 */
class SampleReader
{
public:
  explicit SampleReader(std::string_view aText)
    : rest_(aText)
  {
  }

  Sample Read()
  {
    Sample sample;
    if (!Skip('{')) {
      return sample;
    }
    while (!Skip('}')) {
      const std::string name = Name();
      if (name.empty() || !Skip('=') || !Skip('"')) {
        return sample;
      }
      const std::string value = Quoted();
      if (name == "kind") {
        sample.kind_ = value;
      } else if (name == "direction") {
        sample.direction_ = value;
      }
      Skip(',');
    }
    const double number = std::strtod(std::string(rest_).c_str(), nullptr);
    sample.isValid_ = number >= 0.0;
    sample.value_ =
      sample.isValid_ ? static_cast<std::uint64_t>(std::llround(number)) : 0;
    return sample;
  }

private:
  bool Skip(char aExpected)
  {
    while (!rest_.empty() && rest_.front() == ' ') {
      rest_.remove_prefix(1);
    }
    if (rest_.empty() || rest_.front() != aExpected) {
      return false;
    }
    rest_.remove_prefix(1);
    return true;
  }

  std::string Name()
  {
    const std::size_t end = std::min(rest_.find_first_of("= }"), rest_.size());
    std::string name(rest_.substr(0, end));
    rest_.remove_prefix(end);
    return name;
  }

  /// The text up to the closing quote, with escapes decoded.
  std::string Quoted()
  {
    std::string text;
    while (!rest_.empty()) {
      char next = rest_.front();
      rest_.remove_prefix(1);
      if (next == '"') {
        break;
      }
      if (next == '\\' && !rest_.empty()) {
        next = rest_.front() == 'n' ? '\n' : rest_.front();
        rest_.remove_prefix(1);
      }
      text += next;
    }
    return text;
  }

  std::string_view rest_;
};

std::uint64_t
NeededMessages(const std::string& aKind, const gpMessageDemand& aDemand)
{
  if (aKind == "call" || aKind == "answer") {
    return aDemand.answeredJobs_;
  }
  if (aKind == "start" || aKind == "start_result") {
    return aDemand.tasks_;
  }
  if (aKind == "claim_request" || aKind == "claim_reply" ||
      aKind == "claim_outcome") {
    return kRequiredGrants * aDemand.claimedJobs_;
  }
  return 0;
}

} // namespace

double
gpMessageReport::ExcessShare() const
{
  return needed_ > 0
           ? static_cast<double>(excess_) / static_cast<double>(needed_)
           : 0.0;
}

gpMessageCounts
gpParseMessageCounts(std::string_view aPrometheusText)
{
  gpMessageCounts counts;
  while (!aPrometheusText.empty()) {
    const std::size_t end =
      std::min(aPrometheusText.find('\n'), aPrometheusText.size());
    const std::string_view line = aPrometheusText.substr(0, end);
    aPrometheusText.remove_prefix(std::min(end + 1, aPrometheusText.size()));
    if (line.substr(0, kMetric.size()) != kMetric) {
      continue;
    }
    const Sample sample = SampleReader(line.substr(kMetric.size())).Read();
    if (sample.isValid_ && sample.direction_ != "received") {
      counts[sample.kind_] += sample.value_;
    }
  }
  return counts;
}

gpMessageCounts
gpCountIncrease(const gpMessageCounts& aBefore, const gpMessageCounts& aAfter)
{
  gpMessageCounts counted;
  for (const auto& [kind, after] : aAfter) {
    const auto found = aBefore.find(kind);
    const std::uint64_t before = found == aBefore.end() ? 0 : found->second;
    counted[kind] = after >= before ? after - before : after;
  }
  return counted;
}

gpMessageReport
gpEvaluateMessages(const gpMessageCounts& aCounts,
                   const gpMessageDemand& aDemand)
{
  gpMessageReport report;
  for (const auto& [kind, count] : aCounts) {
    const gpMessageKindCount kindCount{ kind,
                                        count,
                                        NeededMessages(kind, aDemand) };
    report.needed_ += std::min(kindCount.count_, kindCount.needed_);
    report.excess_ += kindCount.Excess();
    report.kinds_.push_back(kindCount);
  }
  return report;
}
