export { listenOn } from "./listenOn.js";
