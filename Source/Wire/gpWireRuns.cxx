#include "gpWireRuns.h"

#include "gpWireAnswer.h"

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

static_assert(static_cast<int>(gpWire::RunEnd::MAX) ==
              static_cast<int>(gpRunEnd::Outdated));

namespace {

/// Largest amount that is accepted. Larger ones come from a faulty peer only,
/// and sums of amounts up to this can't overflow.
constexpr std::uint64_t kMaxResourceAmount = 1ULL << 40U;

Offset<gpWire::Resources>
WriteResources(FlatBufferBuilder& aBuilder, const gpResources& aIn)
{
  return gpWire::CreateResources(
    aBuilder, aIn.milliCores_, aIn.memoryMb_, aIn.accelerators_);
}

bool
ReadResources(gpWireReader& aReader,
              const gpWire::Resources* aIn,
              gpResources& aOut)
{
  aOut.milliCores_ = aIn->milli_cores();
  aOut.memoryMb_ = aIn->memory_mb();
  aOut.accelerators_ = aIn->accelerators();
  if (aOut.milliCores_ > kMaxResourceAmount ||
      aOut.memoryMb_ > kMaxResourceAmount ||
      aOut.accelerators_ > kMaxResourceAmount) {
    return aReader.Fail("resources out of range");
  }
  return true;
}

template<typename Texts>
auto
WriteTexts(FlatBufferBuilder& aBuilder, const Texts& aTexts)
{
  std::vector<Offset<flatbuffers::String>> texts;
  texts.reserve(aTexts.size());
  for (const auto& text : aTexts) {
    texts.push_back(aBuilder.CreateString(text));
  }
  return aBuilder.CreateVector(texts);
}

template<typename Text>
bool
ReadTexts(gpWireReader& aReader,
          const flatbuffers::Vector<Offset<flatbuffers::String>>* aIn,
          std::vector<Text>& aOut)
{
  for (const flatbuffers::String* text : *aIn) {
    if (!aReader.Read(text, aOut.emplace_back())) {
      return false;
    }
  }
  return true;
}

} // namespace

// Tables that are nested in messages. Not in the unnamed namespace, so that the
// templates of gpWireAnswer.h and gpWireReader.h find them like the other
// overloads.

Offset<gpWire::RunId>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpRunId& aIn)
{
  const auto task = aBuilder.CreateString(aIn.task_);
  return gpWire::CreateRunId(aBuilder, task, aIn.number_);
}

bool
gpReadWire(gpWireReader& aReader, const gpWire::RunId* aIn, gpRunId& aOut)
{
  aOut.number_ = aIn->number();
  return aReader.Read(aIn->task(), aOut.task_);
}

Offset<gpWire::LostRun>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpLostRun& aIn)
{
  const auto run = gpWriteWire(aBuilder, aIn.run_);
  const auto queue = aBuilder.CreateString(aIn.queue_.value_);
  const auto age = aIn.age_.has_value()
                     ? flatbuffers::Optional<std::uint32_t>(
                         static_cast<std::uint32_t>(aIn.age_->count()))
                     : flatbuffers::nullopt;
  return gpWire::CreateLostRun(
    aBuilder, run, queue, aIn.suspected_, aIn.started_, age);
}

bool
gpReadWire(gpWireReader& aReader, const gpWire::LostRun* aIn, gpLostRun& aOut)
{
  aOut.suspected_ = aIn->suspected();
  aOut.started_ = aIn->started();
  if (const auto age = aIn->age_ms()) {
    aOut.age_ = gpMillis(*age);
  }
  return gpReadWire(aReader, aIn->run(), aOut.run_) &&
         aReader.Read(aIn->queue(), aOut.queue_);
}

Offset<gpWire::QueueActivity>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpQueueActivity& aIn)
{
  const auto queue = aBuilder.CreateString(aIn.queue_.value_);
  return gpWire::CreateQueueActivity(aBuilder, queue, aIn.chancePermille_);
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::QueueActivity* aIn,
           gpQueueActivity& aOut)
{
  aOut.chancePermille_ = aIn->chance_permille();
  return aReader.Read(aIn->queue(), aOut.queue_);
}

Offset<gpWire::ContainedQueue>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpContainedQueue& aIn)
{
  const auto queue = aBuilder.CreateString(aIn.queue_.value_);
  const auto service = aBuilder.CreateString(aIn.service_.value_);
  return gpWire::CreateContainedQueue(
    aBuilder,
    queue,
    service,
    static_cast<std::uint32_t>(aIn.crashAge_.count()));
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::ContainedQueue* aIn,
           gpContainedQueue& aOut)
{
  aOut.crashAge_ = gpMillis(aIn->crash_age_ms());
  return aReader.Read(aIn->queue(), aOut.queue_) &&
         aReader.Read(aIn->service(), aOut.service_);
}

namespace {

gpCrashState
StateOf(const gpWire::TargetCrash& aIn)
{
  if (aIn.confirmed()) {
    return gpCrashState::Confirmed;
  }
  return aIn.refuted() ? gpCrashState::Refuted : gpCrashState::Suspected;
}

} // namespace

Offset<gpWire::TargetCrash>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpTargetCrash& aIn)
{
  const auto target = aBuilder.CreateString(aIn.target_);
  const auto runs = gpWriteTables(aBuilder, aIn.runs_);
  const auto queues = gpWriteTables(aBuilder, aIn.queues_);
  const auto service = aBuilder.CreateString(aIn.service_.value_);
  return gpWire::CreateTargetCrash(aBuilder,
                                   target,
                                   aIn.number_,
                                   aIn.state_ == gpCrashState::Confirmed,
                                   runs,
                                   queues,
                                   service,
                                   aIn.state_ == gpCrashState::Refuted);
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::TargetCrash* aIn,
           gpTargetCrash& aOut)
{
  aOut.number_ = aIn->number();
  aOut.state_ = StateOf(*aIn);
  return aReader.Read(aIn->target(), aOut.target_) &&
         (aIn->service() == nullptr ||
          aReader.Read(aIn->service(), aOut.service_)) &&
         aReader.ReadTables(aIn->runs(), aOut.runs_) &&
         aReader.ReadTables(aIn->queues(), aOut.queues_);
}

Offset<gpWire::RunOrder>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpRunOrder& aIn)
{
  const auto spec = aBuilder.CreateString(aIn.spec_);
  const auto needs = WriteResources(aBuilder, aIn.needs_);
  const auto runs = gpWriteTables(aBuilder, aIn.runs_);
  const auto queue = aBuilder.CreateString(aIn.queue_.value_);
  return gpWire::CreateRunOrder(aBuilder,
                                spec,
                                needs,
                                aIn.estimate_.count(),
                                runs,
                                queue,
                                aIn.capacityEnforced_);
}

bool
gpReadWire(gpWireReader& aReader, const gpWire::RunOrder* aIn, gpRunOrder& aOut)
{
  aOut.capacityEnforced_ = aIn->capacity_enforced();
  return aReader.Read(aIn->spec(), aOut.spec_) &&
         ReadResources(aReader, aIn->needs(), aOut.needs_) &&
         aReader.ReadDuration(aIn->estimate_ms(), aOut.estimate_) &&
         aReader.ReadTables(aIn->runs(), aOut.runs_) &&
         (aIn->queue() == nullptr || aReader.Read(aIn->queue(), aOut.queue_));
}

Offset<gpWire::RunCancel>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpRunCancel& aIn)
{
  const auto runs = gpWriteTables(aBuilder, aIn.runs_);
  return gpWire::CreateRunCancel(aBuilder, runs);
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::RunCancel* aIn,
           gpRunCancel& aOut)
{
  return aReader.ReadTables(aIn->runs(), aOut.runs_);
}

Offset<gpWire::RunReport>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpRunReport& aIn)
{
  const auto run = gpWriteWire(aBuilder, aIn.run_);
  return gpWire::CreateRunReport(
    aBuilder, run, static_cast<gpWire::RunEnd>(aIn.end_), aIn.time_.count());
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::RunReport* aIn,
           gpRunReport& aOut)
{
  return gpReadWire(aReader, aIn->run(), aOut.run_) &&
         aReader.ReadEnum(aIn->end(), aOut.end_) &&
         aReader.ReadDuration(aIn->time_us(), aOut.time_);
}

Offset<gpWire::RunsHeld>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpRunsHeld& aIn)
{
  const auto runs = gpWriteTables(aBuilder, aIn.runs_);
  return gpWire::CreateRunsHeld(aBuilder, runs);
}

bool
gpReadWire(gpWireReader& aReader, const gpWire::RunsHeld* aIn, gpRunsHeld& aOut)
{
  return aReader.ReadTables(aIn->runs(), aOut.runs_);
}

namespace {

/// Reads tables that senders of an earlier version leave out.
template<typename Table, typename Model>
bool
ReadOptional(gpWireReader& aReader,
             const flatbuffers::Vector<Offset<Table>>* aIn,
             std::vector<Model>& aOut)
{
  return aIn == nullptr || aReader.ReadTables(aIn, aOut);
}

} // namespace

Offset<gpWire::TargetNews>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpTargetUpdate& aIn)
{
  const auto service = aBuilder.CreateString(aIn.service_.value_);
  const auto dataCentre = aBuilder.CreateString(aIn.dataCentre_.value_);
  const auto labels = WriteTexts(aBuilder, aIn.labels_);
  const auto capacity = WriteResources(aBuilder, aIn.capacity_);
  const auto crashes = gpWriteTables(aBuilder, aIn.crashes_);
  return gpWire::CreateTargetNews(
    aBuilder, service, dataCentre, labels, capacity, aIn.takesWork_, crashes);
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::TargetNews* aIn,
           gpTargetUpdate& aOut)
{
  aOut.takesWork_ = aIn->takes_work();
  return aReader.Read(aIn->service(), aOut.service_) &&
         aReader.Read(aIn->data_centre(), aOut.dataCentre_) &&
         ReadTexts(aReader, aIn->labels(), aOut.labels_) &&
         ReadResources(aReader, aIn->capacity(), aOut.capacity_) &&
         ReadOptional(aReader, aIn->crashes(), aOut.crashes_);
}

Offset<gpWire::RoomReport>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpCapacityReport& aIn)
{
  const auto free = WriteResources(aBuilder, aIn.free_);
  return gpWire::CreateRoomReport(
    aBuilder, free, aIn.runsSeen_, aIn.sharingEntries_, aIn.slownessPermille_);
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::RoomReport* aIn,
           gpCapacityReport& aOut)
{
  aOut.runsSeen_ = aIn->runs_seen();
  aOut.sharingEntries_ = aIn->sharers();
  aOut.slownessPermille_ = aIn->slowness_permille();
  return ReadResources(aReader, aIn->free(), aOut.free_);
}

Offset<gpWire::KnownEntry>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpKnownEntry& aIn)
{
  const auto address = aBuilder.CreateString(aIn.address_.value_);
  const auto dataCentre = aBuilder.CreateString(aIn.dataCentre_.value_);
  return gpWire::CreateKnownEntry(
    aBuilder, address, dataCentre, aIn.milliCores_);
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::KnownEntry* aIn,
           gpKnownEntry& aOut)
{
  aOut.milliCores_ = aIn->milli_cores();
  return aReader.Read(aIn->address(), aOut.address_) &&
         aReader.Read(aIn->data_centre(), aOut.dataCentre_);
}

Offset<gpWire::EndedJob>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpEndedJob& aIn)
{
  const auto id = aBuilder.CreateString(aIn.id_);
  return gpWire::CreateEndedJob(
    aBuilder, id, static_cast<std::uint32_t>(aIn.age_.count()));
}

bool
gpReadWire(gpWireReader& aReader, const gpWire::EndedJob* aIn, gpEndedJob& aOut)
{
  aOut.age_ = gpMillis(aIn->age_ms());
  return aReader.Read(aIn->id(), aOut.id_);
}

Offset<gpWire::EntryNews>
gpWriteWire(FlatBufferBuilder& aBuilder, const gpEntryUpdate& aIn)
{
  const auto entries = gpWriteTables(aBuilder, aIn.entries_);
  const auto crashes = gpWriteTables(aBuilder, aIn.crashes_);
  const auto contained = gpWriteTables(aBuilder, aIn.contained_);
  const auto cancelled = gpWriteTables(aBuilder, aIn.cancelled_);
  const auto completed = gpWriteTables(aBuilder, aIn.completed_);
  return gpWire::CreateEntryNews(
    aBuilder, entries, crashes, contained, cancelled, completed);
}

bool
gpReadWire(gpWireReader& aReader,
           const gpWire::EntryNews* aIn,
           gpEntryUpdate& aOut)
{
  return aReader.ReadTables(aIn->entries(), aOut.entries_) &&
         ReadOptional(aReader, aIn->crashes(), aOut.crashes_) &&
         ReadOptional(aReader, aIn->contained(), aOut.contained_) &&
         ReadOptional(aReader, aIn->cancelled(), aOut.cancelled_) &&
         ReadOptional(aReader, aIn->completed(), aOut.completed_);
}
