export {
  FleetView,
  peerTimeoutMilliseconds,
  type PeerHeartbeat,
  type RestingUpstream,
} from "./FleetView.js";
