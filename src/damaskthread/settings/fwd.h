#ifndef DAMASKTHREAD_SETTINGS_FWD_H_
#define DAMASKTHREAD_SETTINGS_FWD_H_

namespace damaskthread::settings {

class Secret;
struct Endpoint;
struct Bounds;
struct Operator;
struct Settings;

}  // namespace damaskthread::settings

#endif  // DAMASKTHREAD_SETTINGS_FWD_H_
