/** Fills in a settings template of the deploy file: values, sections of present values, and JSON. */
export function renderSettings (template, fields) {
  const find = (path) => path === '.' ? fields : path.split('.').reduce((value, name) => value?.[name], fields)
  const withSections = template.replace(/\{\{#([^}]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, path, content) => [undefined, false].includes(find(path)) ? '' : content)
  return withSections.replace(/\{\{([^}|]+)(\|json)?\}\}/g, (_, path, json) => {
    const value = find(path)
    if (value === undefined) return json === undefined ? '' : 'null'
    return json === undefined && typeof value !== 'object' ? String(value) : JSON.stringify(value)
  })
}
