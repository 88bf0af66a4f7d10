export { getBytesHash, getHash, getRendezvousScore, mixHashes, toFraction } from "./hash.js";
