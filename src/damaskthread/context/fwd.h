#ifndef DAMASKTHREAD_CONTEXT_FWD_H_
#define DAMASKTHREAD_CONTEXT_FWD_H_

namespace damaskthread::context {

struct HeaderView;
struct CallContext;

}  // namespace damaskthread::context

#endif  // DAMASKTHREAD_CONTEXT_FWD_H_
