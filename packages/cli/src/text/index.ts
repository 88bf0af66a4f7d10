export { Palette } from "./Palette.js";
export { formatNumber, formatTable, toPrintable } from "./table.js";
