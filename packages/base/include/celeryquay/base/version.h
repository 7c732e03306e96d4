#ifndef CELERYQUAY_BASE_VERSION_H
#define CELERYQUAY_BASE_VERSION_H

/* Version of all programs; must match the one in CMakeLists.txt. */
#define CQ_VERSION "0.1.0"

#endif
