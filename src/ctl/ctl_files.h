#ifndef CTL_CTL_FILES_H
#define CTL_CTL_FILES_H

#include "ctl/ctl.h"
#include "state/config.h"

/** Arguments that name operators' files. */
typedef struct {
	struct arg_str *base;
	struct arg_str *overlays;
} ctl_files_t;

/** @return the arguments; arg_freetable() frees them. */
ctl_files_t ctl_files_arguments(void);

/** Reads and checks the files; prints all that is wrong. @return or NULL */
config_t *ctl_files_load(const ctl_files_t *files);

#endif
