#include "state/member_view.h"

#include <stdlib.h>
#include <string.h>

static int compare_name(const void *name, const void *member)
{
	return strcmp(name, ((const member_t *)member)->name);
}

const member_t *member_view_find(const member_view_t *view, const char *name)
{
	if (!view->members_count)
		return NULL;
	return bsearch(name, view->members, view->members_count,
		       sizeof(*view->members), compare_name);
}
