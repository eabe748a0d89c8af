// What a loss of power leaves of a daemon's files; see synced_files.cpp.
#pragma once

namespace pipitpond::preload {

/// To be called after each successful sync of a file or folder.
void note_synced(int descriptor);

}  // namespace pipitpond::preload
