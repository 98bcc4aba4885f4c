/// The version that every program prints and logs.
#pragma once

namespace toucanlever
{

/// Semantic version. Frames stay compatible within a major version.
constexpr char const* version = "0.4.0";

} // namespace toucanlever
