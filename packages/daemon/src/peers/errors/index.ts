export { PeerCallError } from "./PeerCallError.js";
export { PeerForgedError } from "./PeerForgedError.js";
export { PeerLostError } from "./PeerLostError.js";
export { PeerRefusedError } from "./PeerRefusedError.js";
export { PeerTimeoutError } from "./PeerTimeoutError.js";
export { PeerUnreachableError } from "./PeerUnreachableError.js";
