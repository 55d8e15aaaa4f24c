#ifndef DAMASKTHREAD_RESOURCE_FWD_H_
#define DAMASKTHREAD_RESOURCE_FWD_H_

namespace damaskthread::resource {

struct FieldError;
struct LogEntry;
struct LogRecord;
struct LogSlice;
struct Objective;
struct Operation;
struct OperationOutcome;
struct ResourceView;
struct ServiceDeclaration;
class ApiHandler;
class ResourceStore;
class ServiceTable;

}  // namespace damaskthread::resource

#endif  // DAMASKTHREAD_RESOURCE_FWD_H_
