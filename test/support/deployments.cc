#include <algorithm>
#include <chrono>
#include <numeric>

#include "support/policy_fixture.h"

namespace damaskthread::test {
namespace {

using core::Importance;
using std::chrono::microseconds;
using std::chrono::milliseconds;

void add_work(const CallSpec& call, std::vector<double>& work) {
  work[static_cast<std::size_t>(call.service)] += call.work_ms / 1000;
  for (const CallSpec& child : call.children) add_work(child, work);
}

std::vector<double> work_of(const Deployment& deployment, const OperationSpec& operation) {
  std::vector<double> work(deployment.services.size());
  add_work(operation.root, work);
  return work;
}

}  // namespace

Deployment birchrun() {
  constexpr int kFleet = 0;
  constexpr int kBooking = 1;
  constexpr int kDocuments = 2;
  constexpr int kPricing = 3;
  const CallSpec pricing{kPricing, 60, {}};
  const CallSpec fleet{kFleet, 40, {pricing}};
  const CallSpec documents{kDocuments, 40, {}};
  return {"birchrun",
          {{"fleet", 5, 70, 530}, {"booking", 4, 80, 570}, {"documents", 3, 100, 720}, {"pricing", 3, 35, 300}},
          {{"book",
            Importance::kCritical,
            0.12,
            milliseconds{2000},
            milliseconds{1000},
            {kBooking, 40, {fleet, documents}}},
           {"counter-lookup", Importance::kHigh, 0.23, milliseconds{1000}, milliseconds{500}, fleet},
           {"lookup", Importance::kNormal, 0.45, milliseconds{1000}, milliseconds{500}, fleet},
           {"document", Importance::kSheddable, 0.20, milliseconds{1000}, milliseconds{500}, documents}},
          kPricing,
          milliseconds{1},
          milliseconds{8}};
}

Deployment lindqvist() {
  constexpr int kBerth = 0;
  constexpr int kOrders = 1;
  constexpr int kArchive = 2;
  constexpr int kStock = 3;
  const CallSpec stock{kStock, 60, {}};
  const CallSpec berth{kBerth, 40, {stock}};
  const CallSpec archive{kArchive, 40, {}};
  return {
      "lindqvist",
      {{"berth", 6, 55, 440}, {"orders", 4, 85, 610}, {"archive", 3, 110, 780}, {"stock", 3, 35, 300}},
      {{"order", Importance::kCritical, 0.07, milliseconds{2000}, milliseconds{1000}, {kOrders, 40, {berth, archive}}},
       {"berth-schedule", Importance::kCritical, 0.05, milliseconds{2000}, milliseconds{1000}, berth},
       {"sales-stock", Importance::kHigh, 0.23, milliseconds{1000}, milliseconds{500}, stock},
       {"stock", Importance::kNormal, 0.45, milliseconds{1000}, milliseconds{500}, stock},
       {"archive", Importance::kSheddable, 0.20, milliseconds{1000}, milliseconds{500}, archive}},
      kStock,
      microseconds{500},
      milliseconds{3}};
}

double capacity(const Deployment& deployment) {
  double work = 0;
  for (const OperationSpec& operation : deployment.operations) {
    work += operation.share * work_of(deployment, operation)[static_cast<std::size_t>(deployment.bottleneck)];
  }
  const ServiceSpec& service = deployment.services[static_cast<std::size_t>(deployment.bottleneck)];
  return service.servers * service.slots / work;
}

double ideal_rate(const Deployment& deployment, double load, double speed) {
  const double offered = load * capacity(deployment);
  std::vector<double> left;
  for (const ServiceSpec& service : deployment.services) left.push_back(service.servers * service.slots);
  left[static_cast<std::size_t>(deployment.bottleneck)] *= speed;
  double answered = 0;
  for (int importance = core::kImportanceCount - 1; importance >= 0; --importance) {
    // The operations of a class grow together; one stops growing when a service that it uses is full.
    std::vector<const OperationSpec*> growing;
    for (const OperationSpec& operation : deployment.operations) {
      if (static_cast<int>(operation.importance) == importance) growing.push_back(&operation);
    }
    double part = 0;
    while (!growing.empty() && part < 1) {
      std::vector<double> use(left.size());
      for (const OperationSpec* operation : growing) {
        const std::vector<double> work = work_of(deployment, *operation);
        for (std::size_t i = 0; i < use.size(); ++i) use[i] += offered * operation->share * work[i];
      }
      double step = 1 - part;
      for (std::size_t i = 0; i < use.size(); ++i) {
        if (use[i] > 0) step = std::min(step, left[i] / use[i]);
      }
      for (std::size_t i = 0; i < use.size(); ++i) left[i] = std::max(0.0, left[i] - step * use[i]);
      for (const OperationSpec* operation : growing) answered += offered * operation->share * step;
      part += step;
      std::erase_if(growing, [&](const OperationSpec* operation) {
        const std::vector<double> work = work_of(deployment, *operation);
        for (std::size_t i = 0; i < work.size(); ++i) {
          if (work[i] > 0 && left[i] < 1e-9) return true;
        }
        return false;
      });
    }
  }
  return answered;
}

}  // namespace damaskthread::test
