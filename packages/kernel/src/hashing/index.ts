export { getHash, getRendezvousScore, mixHashes } from "./hash.js";
