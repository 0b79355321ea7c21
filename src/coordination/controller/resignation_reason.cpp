#include "coordination/controller/resignation_reason.h"

namespace burlpoint::coordination {

const char* nameOf(ResignationReason reason) {
    switch (reason) {
        case ResignationReason::newerTokenSeen:
            return "newer-token-seen";
        case ResignationReason::newerTokenStored:
            return "newer-token-stored";
        case ResignationReason::workersLost:
            return "workers-lost";
        case ResignationReason::workersNeverReached:
            return "workers-never-reached";
        case ResignationReason::onlyThisControllerRefused:
            return "only-this-controller-refused";
        case ResignationReason::overloaded:
            return "overloaded";
    }
    return "unknown";
}

Election::Resignation resignationFor(ResignationReason reason) {
    switch (reason) {
        case ResignationReason::newerTokenSeen:
        case ResignationReason::newerTokenStored:
            return Election::Resignation::mayTryAgain;
        case ResignationReason::workersLost:
        case ResignationReason::workersNeverReached:
        case ResignationReason::onlyThisControllerRefused:
        case ResignationReason::overloaded:
            return Election::Resignation::deferToPeers;
    }
    return Election::Resignation::mayTryAgain;
}

}  // namespace burlpoint::coordination
