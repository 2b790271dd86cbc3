// The program `dotterellead` without a subcommand.
#ifndef APPS_STANDALONE_RUN_STANDALONE_H_
#define APPS_STANDALONE_RUN_STANDALONE_H_

namespace dotterellead {

// Serves until SIGTERM or SIGINT; returns the exit code.
int RunStandalone(int argc, char** argv);

}  // namespace dotterellead

#endif  // APPS_STANDALONE_RUN_STANDALONE_H_
