#pragma once

#include <cstddef>

class gpTestProcess;

/// Resident memory of the process now, in bytes. Throws gpTestFailure if it
/// isn't running.
std::size_t
gpMemoryOf(const gpTestProcess& aProcess);

/// Most resident memory that the process has had since its start, in bytes.
/// Throws likewise.
std::size_t
gpPeakMemoryOf(const gpTestProcess& aProcess);

/// Number of descriptors that the process has open now.
std::size_t
gpOpenDescriptorsOf(const gpTestProcess& aProcess);

/// Allows this process, and those that it starts, as many descriptors as the
/// system lets it have.
void
gpRaiseDescriptorLimit();
