#ifndef DAMASKTHREAD_HTTP_FWD_H_
#define DAMASKTHREAD_HTTP_FWD_H_

namespace damaskthread::http {

struct Header;
struct Request;
struct Response;
struct Endpoint;
struct Failure;
class Client;
class Server;
class Cancellation;

}  // namespace damaskthread::http

#endif  // DAMASKTHREAD_HTTP_FWD_H_
