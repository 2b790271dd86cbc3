// The program `dotterellead entry`.
#ifndef APPS_ENTRY_RUN_ENTRY_H_
#define APPS_ENTRY_RUN_ENTRY_H_

namespace dotterellead::entry {

// Serves until SIGTERM or SIGINT. Returns the exit code.
int RunEntry(int argc, const char* const* argv);

}  // namespace dotterellead::entry

#endif  // APPS_ENTRY_RUN_ENTRY_H_
