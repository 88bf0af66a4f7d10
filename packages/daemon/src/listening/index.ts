export type { Listener } from "./Listener.js";
export { ListenerError } from "./ListenerError.js";
export { ListenerStart } from "./ListenerStart.js";
export { listenOn } from "./listenOn.js";
export { stopListening } from "./stopListening.js";
