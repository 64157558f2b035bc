#ifndef CTL_CTL_FILES_H
#define CTL_CTL_FILES_H

#include "ctl/ctl.h"
#include "state/config.h"

/** Command line arguments that name the configuration files. */
typedef struct {
	struct arg_str *base;	  /**< base file, shared by all sites */
	struct arg_str *overlays; /**< overlay files, applied in order */
} ctl_files_t;

/** Creates the arguments. @return them; arg_freetable() frees them */
ctl_files_t ctl_files_arguments(void);

/**
 * Reads, merges and validates the files; prints all problems.
 *
 * @return the configuration, or NULL if a file is invalid
 */
config_t *ctl_files_load(const ctl_files_t *files);

#endif
