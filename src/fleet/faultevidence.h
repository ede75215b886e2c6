#pragma once

namespace persimmon::fleet {

/// How certain it is that a group does not work.
enum class fault_evidence
{
  /// A member or the head is silent, as far as this process can tell or was told. A sound instance
  /// may be silent for seconds and then go on.
  silence,
  /// A member has ended, restarted or left the group, or the head reports the group broken: the
  /// group never continues its calls.
  proof
};

/// Returns the name of an evidence for logs.
[[nodiscard]] constexpr const char*
FaultEvidenceName(fault_evidence aEvidence)
{
  return aEvidence == fault_evidence::proof ? "proof" : "silence";
}

} // namespace persimmon::fleet
