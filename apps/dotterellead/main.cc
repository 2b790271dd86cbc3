#include <cstring>

#include "run_entry.h"
#ifdef DOTTERELLEAD_STANDALONE
#include "run_standalone.h"
#else
#include <cstdio>
#endif

int main(int argc, char** argv) {
  if (argc > 1 && std::strcmp(argv[1], "entry") == 0)
    return dotterellead::entry::RunEntry(argc - 1, argv + 1);
#ifdef DOTTERELLEAD_STANDALONE
  return dotterellead::RunStandalone(argc, argv);
#else
  std::fputs("this build serves on a platform only; run: dotterellead entry\n",
             stderr);
  return 2;
#endif
}
