export { FleetView, peerTimeoutMilliseconds, type PeerHeartbeat } from "./FleetView.js";
