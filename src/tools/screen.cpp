#include "tools/screen.hpp"

#include <algorithm>

namespace limemast::tools {
namespace {
constexpr const char* kViewNames[] = {"jobs", "machines", "drains", "controllers"};
constexpr std::size_t kMaxFilterBytes = 60;
constexpr std::size_t kMaxColumnWidth = 24;  ///< of all columns but the last
bool is_continuation_byte(char c) { return (static_cast<unsigned char>(c) & 0xC0) == 0x80; }
}  // namespace

std::size_t width(const std::string& text) {
  return static_cast<std::size_t>(
      std::count_if(text.begin(), text.end(), [](char c) { return !is_continuation_byte(c); }));
}

std::string fit(const std::string& text, std::size_t columns) {
  std::string out;
  std::size_t used = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (!is_continuation_byte(text[i]) && used++ == columns) break;
    const auto c = static_cast<unsigned char>(text[i]);
    out += c < 32 || c == 127 ? '?' : text[i];
  }
  used = std::min(used, columns);
  return out + std::string(columns - used, ' ');
}

void Screen::show(std::shared_ptr<const Snapshot> snapshot, net::Time now) {
  snapshot_ = std::move(snapshot);
  read_at_ = now;
  error_.clear();
}

void Screen::set_error(const std::string& why) { error_ = why; }

Table Screen::table() const {
  if (!snapshot_) return {};
  const auto& state = states_[view_];
  auto t = view_ == 0   ? jobs_table(*snapshot_)
           : view_ == 1 ? machines_table(*snapshot_)
           : view_ == 2 ? drains_table(*snapshot_)
                        : controllers_table(*snapshot_);
  if (!state.filter.empty()) filter_rows(t, state.filter);
  if (state.sort) sort_rows(t, *state.sort, state.descending);
  return t;
}

void Screen::press(Key key, char typed) {
  auto& state = states_[view_];
  if (typing_) {
    switch (key) {
      case Key::Accept:
        typing_ = false;
        break;
      case Key::Cancel:
        typing_ = false, state.filter.clear();
        break;
      case Key::Erase:
        while (!state.filter.empty() && is_continuation_byte(state.filter.back()))
          state.filter.pop_back();
        if (!state.filter.empty()) state.filter.pop_back();
        break;
      default:
        if (typed != 0 && state.filter.size() < kMaxFilterBytes) state.filter += typed;
    }
    state.cursor = state.top = 0;
    state.selected.clear();
    return;
  }
  const auto t = table();
  const auto last = t.rows.empty() ? 0 : t.rows.size() - 1;
  auto move = [&](std::size_t to) {
    state.cursor = std::min(to, last);
    state.selected = t.rows.empty() ? "" : t.rows[state.cursor].front().text;
  };
  auto switch_view = [&](std::size_t view) {
    view_ = view;
    detail_ = false;
  };
  switch (key) {
    case Key::Up:
      move(state.cursor > 0 ? state.cursor - 1 : 0);
      break;
    case Key::Down:
      move(state.cursor + 1);
      break;
    case Key::PageUp:
      move(state.cursor > page_ ? state.cursor - page_ : 0);
      break;
    case Key::PageDown:
      move(state.cursor + page_);
      break;
    case Key::Home:
      move(0);
      break;
    case Key::End:
      move(last);
      break;
    case Key::NextView:
      switch_view((view_ + 1) % kViews);
      break;
    case Key::View1:
      switch_view(0);
      break;
    case Key::View2:
      switch_view(1);
      break;
    case Key::View3:
      switch_view(2);
      break;
    case Key::View4:
      switch_view(3);
      break;
    case Key::NextSort: {
      const auto next = state.sort ? *state.sort + 1 : 0;
      state.sort = next < t.columns.size() ? std::optional(next) : std::nullopt;
      break;
    }
    case Key::Reverse:
      state.descending = !state.descending;
      break;
    case Key::Search:
      typing_ = true;
      state.filter.clear();
      break;
    case Key::Accept:
      detail_ = !detail_ && !t.rows.empty();
      break;
    case Key::Cancel:
      if (!detail_) state.filter.clear();
      detail_ = false;
      break;
    case Key::Quit:
      quit_requested_ = true;
      break;
    case Key::Erase:
    case Key::Other:
      break;
  }
}

std::vector<std::string> Screen::details(const Table& t) const {
  const auto& row = t.rows[std::min(states_[view_].cursor, t.rows.size() - 1)];
  std::vector<std::string> out;
  for (std::size_t i = 0; i < row.size(); ++i) out.push_back(fit(t.columns[i], 16) + row[i].text);
  return out;
}

std::vector<Screen::Line> Screen::render(std::size_t rows, std::size_t columns, net::Time now) {
  using Look = Line::Look;
  std::vector<Line> out;
  auto line = [&](std::string text, Look look = Look::Plain) {
    out.push_back({fit(text, columns), look});
  };
  auto& state = states_[view_];
  auto t = table();
  // The cursor stays on its row when the position of that row changes.
  if (!state.selected.empty()) {
    const auto it = std::find_if(t.rows.begin(), t.rows.end(),
                                 [&](const auto& r) { return r.front().text == state.selected; });
    if (it != t.rows.end()) state.cursor = static_cast<std::size_t>(it - t.rows.begin());
  }
  state.cursor = t.rows.empty() ? 0 : std::min(state.cursor, t.rows.size() - 1);

  std::string title = "limemast ";
  for (std::size_t i = 0; i < kViews; ++i)
    title += std::string(i == view_ ? " [" : "  ") + std::to_string(i + 1) + " " + kViewNames[i] +
             (i == view_ ? "]" : " ");
  line(title, Look::Title);
  if (!snapshot_) {
    line(error_.empty() ? "reading..." : error_, error_.empty() ? Look::Plain : Look::Warning);
  } else {
    const auto age = net::to_seconds(now - read_at_).count();
    std::string status = std::to_string(t.rows.size()) + " " + kViewNames[view_] + ", read " +
                         span(age) + " ago from " + snapshot_->from;
    if (!state.filter.empty() || typing_)
      status += ", with \"" + state.filter + (typing_ ? "_" : "") + "\"";
    if (state.sort)
      status += ", sorted by " + t.columns[*state.sort] + (state.descending ? " (descending)" : "");
    line(status);
    if (!error_.empty()) line("Refresh failed: " + error_, Look::Warning);
    for (const auto& m : snapshot_->missing) line("Part missing: " + m, Look::Warning);
  }
  const std::size_t footer_rows = 1;
  if (detail_ && !t.rows.empty()) {
    for (const auto& d : details(t)) line(d);
  } else if (snapshot_ && out.size() + footer_rows + 1 < rows) {
    // Each column is as wide as its content, up to kMaxColumnWidth. The last takes the rest.
    std::vector<std::size_t> widths;
    for (std::size_t i = 0; i < t.columns.size(); ++i) {
      auto w = width(t.columns[i]);
      for (const auto& r : t.rows) w = std::max(w, width(r[i].text));
      widths.push_back(i + 1 < t.columns.size() ? std::min(w, kMaxColumnWidth) : columns);
    }
    auto join = [&](auto text) {
      std::string s;
      for (std::size_t i = 0; i < widths.size(); ++i) s += fit(text(i), widths[i]) + " ";
      return s;
    };
    line(join([&](std::size_t i) { return t.columns[i]; }), Look::Header);
    page_ = rows - out.size() - footer_rows;
    if (state.cursor < state.top) state.top = state.cursor;
    if (state.cursor >= state.top + page_) state.top = state.cursor - page_ + 1;
    if (t.rows.size() <= page_) state.top = 0;
    for (std::size_t i = state.top; i < t.rows.size() && i < state.top + page_; ++i)
      line(join([&](std::size_t c) { return t.rows[i][c].text; }),
           i == state.cursor ? Look::Selected : Look::Plain);
  }
  while (out.size() + footer_rows < rows) line("");
  out.resize(std::min(out.size(), rows > footer_rows ? rows - footer_rows : 0));
  line(typing_ ? "type to search, Enter keeps the filter, Esc clears it"
               : "1-4 Tab view  j/k move  s sort  r reverse  / search  Enter detail  q quit",
       Look::Title);
  out.resize(std::min(out.size(), rows));
  return out;
}
}  // namespace limemast::tools
