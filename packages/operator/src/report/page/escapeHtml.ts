const ENTITIES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
  "'": '&#39;',
};

/** Escapes text for use in HTML content and attribute values. */
export const escapeHtml = (text: string): string =>
  text.replace(/[&<>"']/g, (character) => ENTITIES[character] ?? character);
