#ifndef DAMASKTHREAD_TENANT_FWD_H_
#define DAMASKTHREAD_TENANT_FWD_H_

namespace damaskthread::tenant {

struct Tenant;
struct Declaration;
struct Access;
class Directory;

}  // namespace damaskthread::tenant

#endif  // DAMASKTHREAD_TENANT_FWD_H_
