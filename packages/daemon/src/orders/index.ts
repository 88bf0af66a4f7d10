export { OrderTask } from "./OrderTask.js";
