/** Style sheet of a report page, on screen and on paper. */
export const PAGE_STYLE = `
body { font: 14px/1.45 Helvetica, Arial, sans-serif; color: #1c1c1c; max-width: 1100px; margin: 2em auto; padding: 0 1em; }
h1 { font-size: 24px; margin: 0 0 0.4em; }
h2 { font-size: 16px; margin: 1.6em 0 0.4em; }
.summary { font-size: 16px; font-weight: bold; }
table { border-collapse: collapse; width: 100%; font-size: 12px; font-variant-numeric: tabular-nums; }
th, td { border-bottom: 1px solid #ccc; padding: 3px 6px; text-align: right; }
th { border-bottom: 2px solid #444; vertical-align: bottom; }
th:nth-child(2), td:nth-child(2) { text-align: left; }
thead { display: table-header-group; }
figure { margin: 0; break-inside: avoid; }
figure svg { max-width: 100%; height: auto; }
figcaption { color: #555; font-size: 12px; }
tr { break-inside: avoid; }
@page { size: A4 landscape; margin: 14mm; }
@media print { body { margin: 0; max-width: none; padding: 0; font-size: 11px; } table { font-size: 9px; } }
`;
