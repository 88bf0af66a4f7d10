export { ConnectionPool } from "./ConnectionPool.js";
export { Exchange, type ExchangeListener, type OutgoingRequest } from "./Exchange.js";
