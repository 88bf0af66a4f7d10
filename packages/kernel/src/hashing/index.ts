export { getBytesHash, getHash, getRendezvousScore, mixHashes } from "./hash.js";
