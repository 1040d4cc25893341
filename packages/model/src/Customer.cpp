#include "hemlockproxy/model/Customer.h"

#include <string>

namespace hemlockproxy::model {

namespace {

/// Appends a field so that no two different field lists give the same text.
void AppendField(std::string& aText, std::string_view aField)
{
  aText += std::to_string(aField.size());
  aText += ':';
  aText += aField;
}

} // namespace

CustomerListPtr MakeCustomerList(std::vector<Customer> aCustomers)
{
  std::string text;
  for (const Customer& customer : aCustomers) {
    AppendField(text, customer.name_.Value());
    AppendField(text, customer.priority_ ? std::to_string(*customer.priority_) : "");
    AppendField(text, std::to_string(customer.ratePerSecond_));
    AppendField(text, std::to_string(customer.burst_));
    AppendField(text, std::to_string(customer.keys_.size()));
    for (const Digest& key : customer.keys_) {
      AppendField(text, ToString(key));
    }
  }
  const Digest digest = HashBytes(text);
  return std::make_shared<const CustomerList>(CustomerList{ std::move(aCustomers), digest });
}

Digest HashKey(std::string_view aKey) noexcept
{
  return HashBytes(aKey);
}

} // namespace hemlockproxy::model
