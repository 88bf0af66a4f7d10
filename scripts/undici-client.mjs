/** The modules of undici that the router daemon uses; bundled instead of the whole package. */
import request from "../node_modules/undici/lib/api/api-request.js";
import Client from "../node_modules/undici/lib/dispatcher/client.js";
import Dispatcher from "../node_modules/undici/lib/dispatcher/dispatcher.js";

Object.assign(Dispatcher.prototype, { request });

export { Client };
