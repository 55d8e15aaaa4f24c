#ifndef DAMASKTHREAD_MESH_FWD_H_
#define DAMASKTHREAD_MESH_FWD_H_

namespace damaskthread::mesh {

struct ExplainQuery;
struct Explanation;
struct HeaderNames;
struct MeshSettings;
struct Policy;
struct RequestOptions;
class Adapter;
class CallerMemory;
class CallerRequest;
class Daemon;
class EventLog;
class Fleet;
class LocalExecutor;
class HttpConnection;
class HttpListener;
class Ingress;
class LeaseClient;
class PeerLink;
class PeerListener;
class QuotaService;
class ServerConnections;
class StoreClient;
class Stream;

}  // namespace damaskthread::mesh

#endif  // DAMASKTHREAD_MESH_FWD_H_
