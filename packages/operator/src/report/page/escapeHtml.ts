const ENTITIES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
  "'": '&#39;',
};

/** Text made safe for an HTML page. */
export const escapeHtml = (text: string): string =>
  text.replace(/[&<>"']/g, (character) => ENTITIES[character] ?? character);
