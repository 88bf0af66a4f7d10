/** The parts of undici that the daemon needs; the bundle takes them in place of the whole. */
import request from "../node_modules/undici/lib/api/api-request.js";
import Client from "../node_modules/undici/lib/dispatcher/client.js";
import Dispatcher from "../node_modules/undici/lib/dispatcher/dispatcher.js";

Object.assign(Dispatcher.prototype, { request });

export { Client };
