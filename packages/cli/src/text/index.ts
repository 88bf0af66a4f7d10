export { formatChange } from "./formatChange.js";
export { Palette } from "./Palette.js";
export { formatNumber, formatTable, toPrintable } from "./table.js";
